package tillerlink.net.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Settings;
import tillerlink.net.wire.ClientAnswer;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.net.wire.MalformedProtocolException;
import tillerlink.net.wire.ResultResponse;
import tillerlink.net.wire.SubmitRequest;
import tillerlink.plain.Units;
import tillerlink.telemetry.EventLog.Topic;

/**
 * The accepted requests, from their submission until the retention period after the delivery of
 * their answer has elapsed. Confined to the event-loop thread; all times are tenths of a
 * millisecond.
 */
final class RequestRegistry {
  private static final String RESULT_PATH = "/v1/calls/";
  private static final String SUBMIT_PATH = "/v1/";

  /** The largest number of requests in the registry, unless the settings specify fewer. */
  private static final int MAX_REQUESTS = 4096;

  /** A request is refused if its deadline is more than this many times the longest configured. */
  private static final int MAX_DEADLINE_FACTOR = 2;

  /** How long an answer is retained for a client whose connection broke. */
  private static final long ANSWER_RETENTION = 1000 * Units.TENTHS_PER_MS;

  private final GatewayContext context;
  private final RequestClasses classes;
  private final RetainedBytes retained;
  private final RequestReservations reservations;
  private final Map<String, PendingResponse> byId = new LinkedHashMap<>();
  private final EndedRequestIds endedIds;

  /** The requests with a guard that are neither answered nor cancelled. */
  private final Set<PendingResponse> unsettledGuarded = new LinkedHashSet<>();

  /** The queues of open requests by subject, for request classes that preserve the order. */
  private final Map<String, KeyedRequestQueue> queues = new HashMap<>();

  private final long maxRequests;

  /** The retry advice for requests rejected because of overload; 0 for no advice. */
  private final long retryAfter;

  private boolean closed;

  RequestRegistry(GatewayContext context, Settings settings, RetainedBytes retained) {
    this.context = context;
    this.retained = retained;
    reservations = new RequestReservations(retained);
    classes = new RequestClasses(settings);
    endedIds = new EndedRequestIds(retained, MAX_DEADLINE_FACTOR * classes.longestDeadline());
    maxRequests = Math.min(MAX_REQUESTS, settings.number("caps.max_open", MAX_REQUESTS));
    retryAfter = settings.flag("caps.retry_after") ? settings.number("caps.max_retry_after", 0) : 0;
  }

  // ---- acceptance ----

  /**
   * Accepts a request, or answers it with the reason why it is not accepted.
   *
   * @param guard decides whether attempts of the request may be written; null if they always may
   * @param reply receives the path of the result or the reason
   */
  void submit(HttpRequest request, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    if (closed) {
      reply.answer(overloaded());
      return;
    }
    String path = request.path();
    Integer requestClass =
        path.startsWith(SUBMIT_PATH) ? classes.indexOf(path.substring(SUBMIT_PATH.length())) : null;
    if (requestClass == null) {
      reply.answer(HttpResponse.unknown());
      return;
    }
    SubmitRequest submitted;
    try {
      submitted = SubmitRequest.of(request);
    } catch (MalformedProtocolException e) {
      reply.answer(HttpResponse.problem(400, e.problem(), 0));
      return;
    }
    HttpResponse immediate = answerOrReserve(submitted, requestClass);
    if (immediate == null) {
      accept(submitted, requestClass, guard, reply);
    } else {
      reply.answer(immediate);
    }
  }

  /**
   * Returns the answer to a request that is not accepted or was accepted before, or null if the
   * request can be accepted. In that case, its memory is reserved.
   */
  private HttpResponse answerOrReserve(SubmitRequest submitted, int requestClass) {
    if (submitted.timeLimit() > MAX_DEADLINE_FACTOR * classes.longestDeadline()) {
      return HttpResponse.problem(400, "X-Deadline-Ms", 0);
    }
    if (submitted.key() == null && classes.requiresKey(requestClass)) {
      return HttpResponse.problem(400, "X-Operation-Key", 0);
    }
    PendingResponse existing = byId.get(submitted.id());
    if (existing != null) {
      return !existing.cancelled && existing.submitted.isRepeatedBy(submitted)
          ? HttpResponse.continueAt(RESULT_PATH + submitted.id())
          : HttpResponse.problem(409, "Known", 0);
    }
    if (endedIds.contains(submitted.id())) {
      return HttpResponse.problem(409, "Known", 0);
    }
    if (byId.size() >= maxRequests || !reservations.tryReserve(submitted)) {
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

  private void accept(
      SubmitRequest submitted,
      int requestClass,
      GatewayExtension.Guard guard,
      GatewayExtension.Reply reply) {
    KeyedRequestQueue queue =
        submitted.subject() == null || !classes.preservesOrder(requestClass)
            ? null
            : queues.computeIfAbsent(submitted.subject(), subject -> new KeyedRequestQueue());
    PendingResponse pending =
        new PendingResponse(
            submitted, requestClass, context.pauses().earliestArrival(context.now()), queue);
    reservations.assign(pending);
    byId.put(submitted.id(), pending);
    if (guard != null) {
      pending.guard = guard;
      unsettledGuarded.add(pending);
    }
    context.policyEvents().requestArrived(pending);
    reply.answer(HttpResponse.continueAt(RESULT_PATH + submitted.id()));
  }

  /** Returns the answer to a request for which there is no capacity. */
  HttpResponse overloaded() {
    return overloadResponse(retryAfter);
  }

  private static HttpResponse overloadResponse(long retryAfter) {
    return HttpResponse.problem(503, "Full", retryAfter / Units.TENTHS_PER_MS);
  }

  // ---- clients ----

  /**
   * Returns the request whose result has the given path, or null.
   *
   * @param path null for no path
   */
  PendingResponse findByResultPath(String path) {
    return path != null && path.startsWith(RESULT_PATH)
        ? byId.get(path.substring(RESULT_PATH.length()))
        : null;
  }

  /**
   * Answers a client that fetches the result of a request, at once if the result is available.
   *
   * @param pending the request, or null if there is no such request
   */
  void fetch(ClientConnection client, PendingResponse pending) {
    if (pending == null || pending.cancelled) {
      client.answer(HttpResponse.unknown());
    } else if (pending.answer != null) {
      deliver(pending, client);
    } else {
      supersedeWaitingConnection(pending);
      pending.waitingConnection = client;
      client.waitFor(pending);
    }
  }

  /** Aborts the waiting connection, because the result is fetched on another one or cancelled. */
  private static void supersedeWaitingConnection(PendingResponse pending) {
    if (pending.waitingConnection != null) {
      pending.waitingConnection.supersede();
      pending.waitingConnection = null;
    }
  }

  /**
   * Cancels a request because its client asked for that, or disconnected before the answer to the
   * submission was written. The request gets no answer.
   */
  void cancel(PendingResponse pending) {
    if (!pending.isSettled()) {
      long now = context.now();
      pending.cancelled = true;
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
              pending.attempts.size(),
              "after_ms",
              (now - pending.request.arrivedAt) / Units.TENTHS_PER_MS);
      pending.retentionStart = now;
      pending.leaveAttendant();
      supersedeWaitingConnection(pending);
      context.policyEvents().clientDisconnected(pending);
      onSettled(pending);
    }
  }

  /** Called when the client of a request is expected at a connection, which is read. */
  void onAttended(PendingResponse pending) {
    context.policyEvents().attendanceChanged(pending, false);
  }

  /** Called when the connection at which the client of a request is expected is not read. */
  void onAttendanceSuspended(PendingResponse pending) {
    context.policyEvents().attendanceChanged(pending, true);
  }

  /**
   * Called when a connection has ended on which the client waited for the answer, or at which it
   * was expected.
   */
  void onConnectionLost(PendingResponse pending) {
    if (pending.waitingConnection == null && pending.attendant == null) {
      context.policyEvents().attendanceChanged(pending, true);
    }
  }

  // ---- answers ----

  /** Answers a request with the pages of its result. */
  void succeed(PendingResponse pending, byte[][] pages) {
    answer(pending, new ResultResponse(pages, false));
  }

  /**
   * Answers a request that had no effect or may run again.
   *
   * @param retryAfterTenths the delay after which the client should retry; 0 for no advice
   */
  void reject(PendingResponse pending, long retryAfterTenths) {
    answer(pending, overloadResponse(retryAfterTenths));
  }

  /** Answers a request that failed and may have had an effect. */
  void fail(PendingResponse pending) {
    answer(pending, HttpResponse.problem(500, "Error", 0));
  }

  private void answer(PendingResponse pending, ClientAnswer answer) {
    if (pending.isSettled()) {
      return;
    }
    pending.answer = answer;
    context.invariants().answerReady(pending);
    onSettled(pending);
    if (pending.waitingConnection != null) {
      deliver(pending, pending.waitingConnection);
      pending.waitingConnection = null;
    }
  }

  private void onSettled(PendingResponse pending) {
    unsettledGuarded.remove(pending);
    reservations.update(pending);
  }

  /** Sends the answer to a client. */
  private static void deliver(PendingResponse pending, ClientConnection client) {
    pending.delivered = true;
    pending.leaveAttendant();
    pending.activeDeliveries++;
    client.deliver(pending);
  }

  /**
   * Called when an answer was written, or its connection has ended. The answer is retained for a
   * while, because a client whose connection breaks fetches it again.
   */
  void onDeliveryEnded(PendingResponse pending) {
    pending.activeDeliveries--;
    pending.retentionStart = context.now();
  }

  // ---- attempts ----

  /** Returns the memory that is reserved for the accepted requests. */
  RequestReservations reservations() {
    return reservations;
  }

  // ---- time ----

  /**
   * Ends the attempts of requests whose deadlines have passed, and removes requests whose retention
   * period has elapsed.
   *
   * @param timeOut ends the attempts of a request
   */
  void sweep(Consumer<PendingResponse> timeOut) {
    long now = context.now();
    for (Iterator<PendingResponse> iterator = byId.values().iterator(); iterator.hasNext(); ) {
      PendingResponse pending = iterator.next();
      if (now >= pending.request.clientDeadline) {
        timeOut.accept(pending);
      }
      if (now >= pending.retentionStart + ANSWER_RETENTION
          && pending.isSettled()
          && pending.activeDeliveries == 0
          && pending.request.isOver()) {
        release(pending);
        iterator.remove();
      }
    }
    endedIds.sweep(now);
    queues
        .values()
        .removeIf(queue -> queue.firstUnfinished() == null && now >= queue.cooldownUntil);
  }

  /** Releases what is held for a request that is removed. */
  private void release(PendingResponse pending) {
    reservations.release(pending);
    pending.leaveAttendant();
    if (pending.mayHaveRun()) {
      endedIds.add(pending.id(), context.now());
    }
    if (pending.request.keyQueue != null) {
      pending.request.keyQueue.requests.remove(pending.request);
    }
  }

  /** Stops accepting requests. */
  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns the longest deadline of all request classes. */
  long longestDeadline() {
    return classes.longestDeadline();
  }

  /** Returns the number of requests in the registry, including those with an answer. */
  int size() {
    return byId.size();
  }

  /** Returns whether every request has been cancelled or its answer passed to a connection. */
  boolean allDelivered() {
    return byId.values().stream().allMatch(pending -> pending.cancelled || pending.delivered);
  }

  /** Returns the requests with a guard that are neither answered nor cancelled. */
  List<PendingResponse> unsettledGuarded() {
    return List.copyOf(unsettledGuarded);
  }

  /** Returns the requests that are neither answered nor cancelled. */
  List<PendingResponse> unanswered() {
    List<PendingResponse> unanswered = new ArrayList<>(byId.values());
    unanswered.removeIf(PendingResponse::isSettled);
    return unanswered;
  }
}
