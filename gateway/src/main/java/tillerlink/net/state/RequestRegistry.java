package tillerlink.net.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Settings;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.net.wire.MalformedProtocolException;
import tillerlink.net.wire.SubmitRequest;
import tillerlink.plain.Units;
import tillerlink.telemetry.EventLog.Topic;

/**
 * The requests that were accepted, from their submission until their answer was handed out and has
 * been kept for a moment. Owned by the event-loop thread; all times are tenths of a millisecond.
 */
final class RequestRegistry {
  private static final String RESULT_PATH = "/v1/calls/";
  private static final String SUBMIT_PATH = "/v1/";
  private static final int MAX_OPEN = 4096;

  /** A client that would wait longer than this many of the longest deadlines is none of ours. */
  private static final int MAX_PATIENCE = 2;

  /** How long an answer is kept for a client whose connection broke. */
  private static final long LINGER = 1000 * Units.TENTHS_PER_MS;

  private final GatewayContext context;
  private final RequestClasses classes;
  private final RetainedBytes retained;
  private final Map<String, PendingResponse> byId = new LinkedHashMap<>();

  /** Open requests by their subjects, of request classes that keep the order. */
  private final Map<String, KeyedRequestQueue> queues = new HashMap<>();

  private final long maxOpen;
  private final long retryAfter;
  private boolean closed;

  RequestRegistry(GatewayContext context, Settings settings, RetainedBytes retained) {
    this.context = context;
    this.retained = retained;
    classes = new RequestClasses(settings);
    maxOpen = Math.min(MAX_OPEN, settings.number("caps.max_open", MAX_OPEN));
    retryAfter = settings.flag("caps.retry_after") ? settings.number("caps.max_retry_after", 0) : 0;
  }

  // ---- acceptance ----

  /**
   * Accepts a request, or answers why not.
   *
   * @param guard decides whether its attempts may be written, or null
   * @return null if none was accepted
   */
  PendingResponse submit(
      HttpRequest http, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    if (closed) {
      reply.answer(overloaded());
      return null;
    }
    String path = http.path();
    Integer requestClass =
        path.startsWith(SUBMIT_PATH) ? classes.index(path.substring(SUBMIT_PATH.length())) : null;
    if (requestClass == null) {
      reply.answer(HttpResponse.unknown());
      return null;
    }
    SubmitRequest submitted;
    try {
      submitted = SubmitRequest.of(http);
    } catch (MalformedProtocolException e) {
      reply.answer(HttpResponse.problem(400, e.problem(), 0));
      return null;
    }
    HttpResponse immediate = answerWithoutAccepting(submitted, requestClass);
    if (immediate != null) {
      reply.answer(immediate);
      return null;
    }
    return accept(submitted, requestClass, guard, reply);
  }

  /** The answer to a request that is not accepted, or was accepted before; null for a new one. */
  private HttpResponse answerWithoutAccepting(SubmitRequest submitted, int requestClass) {
    if (submitted.patience() > MAX_PATIENCE * classes.longestDeadline()) {
      return HttpResponse.problem(400, "X-Deadline-Ms", 0);
    }
    if (submitted.key() == null && classes.requiresKey(requestClass)) {
      return HttpResponse.problem(400, "X-Operation-Key", 0);
    }
    PendingResponse known = byId.get(submitted.id());
    if (known != null) {
      return !known.left && known.submitted.same(submitted)
          ? HttpResponse.goOnAt(RESULT_PATH + submitted.id())
          : HttpResponse.problem(409, "Known", 0);
    }
    if (byId.size() >= maxOpen || retained.isFull()) {
      context.warnRateLimited(
          "request limit reached: "
              + byId.size()
              + " requests with "
              + retained.bytes()
              + " bytes retained");
      return overloaded();
    }
    return null;
  }

  private PendingResponse accept(
      SubmitRequest submitted,
      int requestClass,
      GatewayExtension.Guard guard,
      GatewayExtension.Reply reply) {
    KeyedRequestQueue queue =
        submitted.subject() == null || !classes.keepsOrder(requestClass)
            ? null
            : queues.computeIfAbsent(submitted.subject(), subject -> new KeyedRequestQueue());
    PendingResponse pending =
        new PendingResponse(
            submitted, requestClass, context.pauses().earliestArrival(context.now()), queue);
    pending.guard = guard;
    byId.put(submitted.id(), pending);
    retained.add(submitted.statement().length);
    reply.answer(HttpResponse.goOnAt(RESULT_PATH + submitted.id()));
    context.policyEvents().requestArrived(pending);
    return pending;
  }

  /** The answer to what there is no capacity for. */
  HttpResponse overloaded() {
    return rejection(retryAfter);
  }

  private static HttpResponse rejection(long retryAfter) {
    return HttpResponse.problem(503, "Full", retryAfter / Units.TENTHS_PER_MS);
  }

  // ---- clients ----

  /** The request whose result has that path, or null. */
  PendingResponse find(String path) {
    return path.startsWith(RESULT_PATH) ? byId.get(path.substring(RESULT_PATH.length())) : null;
  }

  /**
   * A client fetches the result of a request.
   *
   * @param pending null if there is no such request
   */
  void fetch(ClientConnection client, PendingResponse pending) {
    if (pending == null || pending.left) {
      client.answer(HttpResponse.unknown());
    } else if (pending.answer != null) {
      handOut(pending, client);
    } else {
      stopWaiting(pending);
      pending.waiting = client;
      client.waitFor(pending);
      context.policyEvents().attendanceChanged(pending, false);
    }
  }

  /** It is fetched again, or cancelled: the connection that waited is of no use any more. */
  private static void stopWaiting(PendingResponse pending) {
    if (pending.waiting != null) {
      pending.waiting.supersede();
      pending.waiting = null;
    }
  }

  /** The client cancelled the request, or has disconnected: nothing is owed any more. */
  void cancel(PendingResponse pending) {
    if (!pending.settled()) {
      long now = context.now();
      pending.left = true;
      pending.request.disconnectedAt = now;
      context
          .telemetry()
          .log()
          .event(
              now,
              Topic.REQUEST,
              "request cancelled by its client",
              "id",
              pending.id(),
              "attempts",
              pending.inFlightAttempts.size(),
              "after_ms",
              (now - pending.request.arrivedAt) / Units.TENTHS_PER_MS);
      pending.forgetAt = now;
      stopWaiting(pending);
      context.policyEvents().clientDisconnected(pending);
    }
  }

  /** The connection on which its client waited, or submitted it and was to wait, has ended. */
  void onConnectionLost(PendingResponse pending) {
    if (pending.waiting == null) {
      context.policyEvents().attendanceChanged(pending, true);
    }
  }

  // ---- answers ----

  void succeed(PendingResponse pending, byte[] rows) {
    answer(pending, new HttpResponse(200, rows, 0, false));
  }

  /**
   * @param retryAfterTenths advice for the client; 0 for none
   */
  void reject(PendingResponse pending, long retryAfterTenths) {
    answer(pending, rejection(retryAfterTenths));
  }

  void fail(PendingResponse pending) {
    answer(pending, HttpResponse.problem(500, "Error", 0));
  }

  private void answer(PendingResponse pending, HttpResponse answer) {
    if (pending.settled()) {
      return;
    }
    pending.answer = answer;
    context.invariants().answerReady(pending);
    retained.add(answer.body().length);
    if (pending.waiting != null) {
      handOut(pending, pending.waiting);
      pending.waiting = null;
    }
  }

  /** The answer stays for a moment: a client whose connection breaks fetches it again. */
  private void handOut(PendingResponse pending, ClientConnection client) {
    pending.handedOut = true;
    pending.forgetAt = context.now();
    client.answer(pending.answer);
  }

  // ---- time ----

  /**
   * Times out attempts whose client's deadline has passed, and forgets what was answered.
   *
   * @param timeOut ends the attempts of a request
   */
  void sweep(Consumer<PendingResponse> timeOut) {
    long now = context.now();
    for (Iterator<PendingResponse> i = byId.values().iterator(); i.hasNext(); ) {
      PendingResponse pending = i.next();
      if (now >= pending.request.clientDeadline) {
        timeOut.accept(pending);
      }
      if (now >= pending.forgetAt + LINGER && pending.settled() && pending.request.isOver()) {
        retained.add(-pending.submitted.statement().length);
        retained.add(pending.answer == null ? 0 : -pending.answer.body().length);
        i.remove();
      }
    }
    queues
        .values()
        .removeIf(queue -> queue.firstUnfinished() == null && now >= queue.cooldownUntil);
  }

  /** Nothing further is accepted. */
  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  long longestDeadline() {
    return classes.longestDeadline();
  }

  int size() {
    return byId.size();
  }

  /** Whether every answer was handed out to whoever waits for it. */
  boolean allHandedOut() {
    return byId.values().stream().allMatch(pending -> pending.left || pending.handedOut);
  }

  /** The requests that are owed an answer. */
  List<PendingResponse> unanswered() {
    List<PendingResponse> unanswered = new ArrayList<>(byId.values());
    unanswered.removeIf(PendingResponse::settled);
    return unanswered;
  }
}
