package tillerlink.net.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import tillerlink.model.KeyedRequestQueue;
import tillerlink.model.Settings;
import tillerlink.net.wire.HttpParseError;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.net.wire.SubmitRequest;
import tillerlink.plain.Units;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/**
 * What clients ask for and what they are owed. A request is answered at once with the path of its
 * result; the call of that path is held until there is news.
 */
final class ClientRequestHandler {
  private static final String CALLS = "/v1/calls/";
  private static final String SUBMIT = "/v1/";
  private static final String HEALTH = "/healthz";
  private static final String METRICS = "/metrics";
  private static final int OPEN_MOST = 4096;

  /** A client that would wait longer than this many of the longest deadlines is none of ours. */
  private static final int PATIENCE_MOST = 2;

  private static final long LINGER = 1000 * Units.TENTHS_PER_MS;

  private final GatewayContext context;
  private final Map<String, Integer> requestClasses = new HashMap<>();

  /** The request classes whose requests bear a mark against repeats. */
  private final Set<Integer> marked = new HashSet<>();

  /** The request classes that keep their order, and what is open of each subject. */
  private final Set<Integer> ordered = new HashSet<>();

  private final Map<String, KeyedRequestQueue> lines = new HashMap<>();
  private final Map<String, PendingResponse> calls = new LinkedHashMap<>();
  private final Set<ClientConnection> clients = new LinkedHashSet<>();
  private final int maxClients;
  private final long openMost;
  private long longestDeadline = 1;
  private final long retryAfter;
  private final long maxBytes;
  private long bytes;
  private boolean draining;

  /** Nothing further is taken. */
  private boolean closing;

  /** Takes some calls, or null. */
  private GatewayExtension extension;

  ClientRequestHandler(GatewayContext context, Settings terms, int maxClients, long maxBytes) {
    this.context = context;
    this.maxBytes = maxBytes;
    this.maxClients = maxClients;
    for (int i = 0; i < terms.number("profiles", 0); i++) {
      requestClasses.put(terms.text("profiles." + i + ".name"), i);
      if (terms.text("profiles." + i + ".semantics").equals("by_key")) {
        marked.add(i);
      }
      if (terms.flag("profiles." + i + ".keep_order")) {
        ordered.add(i);
      }
      longestDeadline = Math.max(longestDeadline, terms.number("profiles." + i + ".hard_limit", 1));
    }
    openMost = Math.min(OPEN_MOST, terms.number("caps.max_open", OPEN_MOST));
    retryAfter = terms.flag("caps.retry_after") ? terms.number("caps.max_retry_after", 0) : 0;
  }

  // ---- connections ----

  ClientConnection accepted(Channel channel) {
    ClientConnection client = new ClientConnection(this, channel);
    clients.add(client);
    makeRoom();
    return client;
  }

  /**
   * Guards usual clients against those that connect by hundreds and say nothing, or ask once and
   * stay: beyond the bound, what is of least use goes, the longest quiet first, and what has ended
   * here does not linger. If nothing may go yet, newcomers wait in the backlog.
   */
  private void makeRoom() {
    int more = clients.size() - maxClients;
    if (more <= 0) {
      return;
    }
    int over = (int) clients.stream().filter(ClientConnection::over).count();
    first(more, clients.stream().filter(ClientConnection::over))
        .forEach(client -> client.drop(ClientDisconnectReason.NO_ROOM));
    first(more - over, clients.stream().filter(client -> !client.over()))
        .forEach(client -> client.end(ClientDisconnectReason.NO_ROOM));
  }

  /** So many of those that may go, those of least use first. */
  private static List<ClientConnection> first(int most, Stream<ClientConnection> some) {
    return some.filter(ClientConnection::mayGo)
        .sorted(
            Comparator.comparing(ClientConnection::use).thenComparing(ClientConnection::quietSince))
        .limit(Math.max(0, most))
        .toList();
  }

  /**
   * A connection has ended.
   *
   * @param pending the last that was handed in or waited for on it, or null
   */
  void connectionEnded(ClientDisconnectReason how, PendingResponse pending) {
    context.telemetry().metrics().add(Counter.CLIENT_CONNECTIONS_ENDED, how);
    if (pending != null && !pending.settled()) {
      context
          .telemetry()
          .log()
          .event(
              now(),
              Topic.CONNECTION,
              "client connection ended under a request",
              "id",
              pending.id(),
              "how",
              how,
              "after_ms",
              (now() - pending.request.arrivedAt) / Units.TENTHS_PER_MS);
    }
  }

  void forget(ClientConnection client) {
    clients.remove(client);
  }

  /** Counts bytes that are kept for clients; beyond a share of the heap no request is taken. */
  void held(long more) {
    bytes += more;
  }

  /** Whether as much is kept for clients as may be. */
  boolean full() {
    return bytes > maxBytes;
  }

  /** The answer to what there is no room for. */
  HttpResponse noRoom() {
    return refusal(retryAfter);
  }

  long now() {
    return context.now();
  }

  /** Calls back once all that could be read of any connection has been told. */
  void afterReading(Runnable then) {
    context.driver().runAfterPendingReads(then);
  }

  // ---- calls ----

  void called(ClientConnection client, HttpParseResult item) {
    if (item instanceof HttpParseError fault) {
      client.refuse(HttpResponse.problem(fault.status(), fault.cause(), 0));
      return;
    }
    HttpRequest http = (HttpRequest) item;
    if (http.last() || closing) {
      client.lastCall();
    }
    String path = http.path();
    if (extension != null && extension.handlesPath(path)) {
      if (full() && http.body().length > 0) {
        client.answer(noRoom());
      } else {
        extension.onRequest(http, client.owed());
      }
      return;
    }
    switch (http.method()) {
      case GET -> {
        if (path.equals(HEALTH)) {
          client.answer(draining ? HttpResponse.problem(503, "Draining", 0) : HttpResponse.done());
        } else if (path.equals(METRICS)) {
          client.answer(HttpResponse.text(context.telemetry().metrics().exposition()));
        } else {
          fetch(client, known(path));
        }
      }
      case POST -> {
        PendingResponse pending = submit(http, null, client::answer);
        if (pending != null) {
          client.handedIn(pending);
        }
      }
      case DELETE -> {
        PendingResponse pending = known(path);
        if (pending != null) {
          leave(pending);
        }
        client.answer(pending == null ? HttpResponse.unknown() : HttpResponse.done());
      }
      default -> client.refuse(HttpResponse.problem(405, "Method", 0));
    }
  }

  private PendingResponse known(String path) {
    return path.startsWith(CALLS) ? calls.get(path.substring(CALLS.length())) : null;
  }

  /**
   * Takes a request, or answers why not.
   *
   * @param guard what its attempts wait on before they go out, or null
   * @return null if none was taken
   */
  PendingResponse submit(
      HttpRequest http, GatewayExtension.Guard guard, GatewayExtension.Reply reply) {
    if (closing) {
      reply.answer(noRoom());
      return null;
    }
    Integer requestClass =
        http.path().startsWith(SUBMIT)
            ? requestClasses.get(http.path().substring(SUBMIT.length()))
            : null;
    if (requestClass == null) {
      reply.answer(HttpResponse.unknown());
      return null;
    }
    SubmitRequest ask;
    try {
      ask = SubmitRequest.of(http);
    } catch (IllegalArgumentException e) {
      reply.answer(HttpResponse.problem(400, e.getMessage(), 0));
      return null;
    }
    PendingResponse known = calls.get(ask.id());
    boolean tooLong = ask.patience() > PATIENCE_MOST * longestDeadline;
    if (tooLong || ask.key() == null && marked.contains(requestClass)) {
      reply.answer(HttpResponse.problem(400, tooLong ? "X-Deadline-Ms" : "X-Operation-Key", 0));
    } else if (known != null && !known.left && known.submission.same(ask)) {
      reply.answer(HttpResponse.goOnAt(CALLS + ask.id()));
    } else if (known != null) {
      reply.answer(HttpResponse.problem(409, "Known", 0));
    } else if (calls.size() >= openMost || full()) {
      context.warnRateLimited(
          "no room for a further submission: " + calls.size() + " with " + bytes + " bytes");
      reply.answer(noRoom());
    } else {
      KeyedRequestQueue line =
          ask.subject() == null || !ordered.contains(requestClass)
              ? null
              : lines.computeIfAbsent(ask.subject(), about -> new KeyedRequestQueue());
      PendingResponse pending =
          new PendingResponse(ask, requestClass, context.pauses().earliestArrival(now()), line);
      pending.guard = guard;
      calls.put(ask.id(), pending);
      held(ask.statement().length);
      reply.answer(HttpResponse.goOnAt(CALLS + ask.id()));
      context.policyEvents().requestArrived(pending);
      return pending;
    }
    return null;
  }

  private void fetch(ClientConnection client, PendingResponse pending) {
    if (pending == null || pending.left) {
      client.answer(HttpResponse.unknown());
    } else if (pending.answer != null) {
      handOut(pending, client);
    } else {
      stopWaiting(pending);
      pending.waiting = client;
      client.waitsFor = pending;
      context.policyEvents().attendanceChanged(pending, false);
    }
  }

  /** Another call of the path, or none: the connection that waited is of no use any more. */
  private static void stopWaiting(PendingResponse pending) {
    if (pending.waiting != null) {
      pending.waiting.waitsFor = null;
      pending.waiting.drop(ClientDisconnectReason.SUPERSEDED);
      pending.waiting = null;
    }
  }

  /** The client has gone; nothing is owed any more. */
  void leave(PendingResponse pending) {
    if (!pending.settled()) {
      pending.left = true;
      pending.request.disconnectedAt = now();
      context
          .telemetry()
          .log()
          .event(
              now(),
              Topic.REQUEST,
              "request abandoned by its client",
              "id",
              pending.id(),
              "attempts",
              pending.inFlightAttempts.size(),
              "after_ms",
              (now() - pending.request.arrivedAt) / Units.TENTHS_PER_MS);
      pending.forgetAt = now();
      stopWaiting(pending);
      context.policyEvents().clientDisconnected(pending);
    }
  }

  /** The connection on which its client waited, or handed it in and was to wait, has ended. */
  void unattended(PendingResponse pending) {
    if (pending.waiting == null) {
      context.policyEvents().attendanceChanged(pending, true);
    }
  }

  // ---- answers ----

  void fulfil(PendingResponse pending, byte[] rows) {
    answer(pending, new HttpResponse(200, rows, 0, false));
  }

  void reject(PendingResponse pending, long stayAway) {
    answer(pending, refusal(stayAway));
  }

  void fail(PendingResponse pending) {
    answer(pending, HttpResponse.problem(500, "Error", 0));
  }

  private static HttpResponse refusal(long stayAway) {
    return HttpResponse.problem(503, "Full", stayAway / Units.TENTHS_PER_MS);
  }

  private void answer(PendingResponse pending, HttpResponse answer) {
    if (pending.settled()) {
      return;
    }
    pending.answer = answer;
    context.invariants().answerReady(pending);
    held(answer.body().length);
    if (pending.waiting != null) {
      handOut(pending, pending.waiting);
      pending.waiting = null;
    }
  }

  /** The answer stays for a moment: a client whose connection breaks comes again. */
  private void handOut(PendingResponse pending, ClientConnection client) {
    pending.handedOut = true;
    pending.forgetAt = now();
    client.answer(pending.answer);
  }

  // ---- time ----

  /**
   * Ends what has waited too long.
   *
   * @param timeOut ends the attempts of a request whose deadline has passed
   */
  void sweep(Consumer<PendingResponse> timeOut) {
    for (Iterator<PendingResponse> i = calls.values().iterator(); i.hasNext(); ) {
      PendingResponse pending = i.next();
      if (now() >= pending.request.clientDeadline) {
        timeOut.accept(pending);
      }
      if (now() >= pending.forgetAt + LINGER && pending.settled() && pending.request.isOver()) {
        held(-pending.submission.statement().length);
        held(pending.answer == null ? 0 : -pending.answer.body().length);
        i.remove();
      }
    }
    lines.values().removeIf(line -> line.firstUnfinished() == null && now() >= line.cooldownUntil);
    List.copyOf(clients).forEach(ClientConnection::sweep);
    makeRoom();
  }

  void setExtension(GatewayExtension added) {
    extension = added;
  }

  /** From now on the gateway is on its way out; it goes on serving what comes. */
  void drain() {
    draining = true;
  }

  /** Nothing further is taken: it is refused, and connections end once nothing is owed on them. */
  void close() {
    closing = true;
    List.copyOf(clients).forEach(ClientConnection::closing);
  }

  boolean closing() {
    return closing;
  }

  /** Whether no client is connected. */
  boolean deserted() {
    return clients.isEmpty();
  }

  long longestDeadline() {
    return longestDeadline;
  }

  /** Whether every answer is out. */
  boolean allAnswered() {
    return calls.values().stream().allMatch(pending -> pending.left || pending.handedOut)
        && clients.stream().noneMatch(ClientConnection::busy);
  }

  /** The requests that are owed an answer. */
  List<PendingResponse> owed() {
    List<PendingResponse> owed = new ArrayList<>(calls.values());
    owed.removeIf(PendingResponse::settled);
    return owed;
  }

  @Override
  public String toString() {
    return calls.size()
        + " submissions, "
        + clients.size()
        + " clients, "
        + bytes / 1024
        + " KB held";
  }
}
