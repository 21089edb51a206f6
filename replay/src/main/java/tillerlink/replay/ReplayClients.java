package tillerlink.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.fakes.HttpResponseParser;
import tillerlink.fakes.HttpResponseParser.Response;
import tillerlink.fakes.Results;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/**
 * The clients of a replay. They produce an open-loop load: each request is sent at its arrival
 * time, independent of the outcome of earlier requests, to a gateway that is up. A client fetches
 * its result with the HTTP protocol of the gateway.
 */
public final class ReplayClients {
  private static final int MAX_FETCHES = 3;

  /**
   * Time after its deadline at which a client disconnects, in tenths of a millisecond: 50 ms, which
   * allows for the delay of the sockets.
   */
  private static final long DEADLINE_SLACK = 500;

  /** Time allowed for a gateway to receive a cancellation, in tenths of a millisecond. */
  private static final long DISCONNECT_DELAY = 10;

  /** Time after which an idle connection is not used again, in tenths of a millisecond. */
  private static final long MAX_IDLE_TIME = 4 * ReplayMetrics.SECOND;

  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int NO_GATEWAY = -1;

  /**
   * The faults of a client that polls, as the numbers that the fault chooser returns. 0 is no
   * fault.
   */
  private static final class ClientFault {
    static final int RECONNECTS = 1;
    static final int DISCONNECTS = 2;
    static final int COUNT = 3;
  }

  /** A request and the state of its client. */
  private static final class Request {
    private final Arrival arrival;
    private final RequestClassSpec requestClass;
    private final String id;
    private final int gateway;
    private final long sentAt;
    private String path;
    private int fetches;
    private boolean ended;

    Request(Arrival arrival, RequestClassSpec requestClass, String id, int gateway, long sentAt) {
      this.arrival = arrival;
      this.requestClass = requestClass;
      this.id = id;
      this.gateway = gateway;
      this.sentAt = sentAt;
    }
  }

  private final EmulatedCluster cluster;
  private final ClientTransport transport;
  private final ReplayMetrics metrics;
  private final RequestEncoder encoder;
  private long start;
  private final Set<Request> openRequests = new LinkedHashSet<>();
  private final List<ArrayDeque<HttpConnection>> idleConnections = new ArrayList<>();
  private final List<Set<HttpConnection>> connections = new ArrayList<>();

  /**
   * Creates clients for a cluster. They connect through the transport and report to the metrics.
   */
  public ReplayClients(
      EmulatedCluster cluster,
      ClientTransport transport,
      ReplayMetrics metrics,
      RequestEncoder encoder) {
    this.cluster = cluster;
    this.transport = transport;
    this.metrics = metrics;
    this.encoder = encoder;
    start = cluster.now();
    for (int i = 0; i < cluster.fleet.gateways(); i++) {
      idleConnections.add(new ArrayDeque<>());
      connections.add(new LinkedHashSet<>());
    }
    cluster.onKill(this::onGatewayKilled);
  }

  /**
   * Sets the start of the run, to which the times in the metrics relate. The default is the time at
   * which this object was created.
   *
   * @param time the start, in tenths of a millisecond
   */
  public void startAt(long time) {
    start = time;
  }

  /** Returns the number of requests that wait for their responses. */
  public int open() {
    return openRequests.size();
  }

  /**
   * Sends a request whose arrival time is now. If no gateway is up, the request ends as {@link
   * End#KILLED}.
   */
  public void arrive(Arrival arrival) {
    RequestClassSpec requestClass = cluster.requestClasses.get(arrival.requestClass());
    metrics.arrived(cluster.now() - start, arrival.requestClass());
    int gateway = gatewayFor(arrival);
    Request request =
        new Request(arrival, requestClass, encoder.id(arrival), gateway, cluster.now());
    if (gateway == NO_GATEWAY) {
      finish(request, End.KILLED);
      return;
    }
    openRequests.add(request);
    cluster.expect(
        request.id,
        new EmulatedCluster.RequestCost(arrival.work(), requestClass.width(), arrival.memory()));
    cluster.auditor.onRequestAccepted(
        cluster.now(),
        gateway,
        request.id,
        arrival.requestClass(),
        null,
        cluster.now() + requestClass.deadline());
    send(request, encoder.submit(arrival, requestClass, request.id));
    cluster.timeline.at(
        cluster.now() + requestClass.deadline() + DEADLINE_SLACK,
        () -> disconnectAtDeadline(request));
  }

  /**
   * Returns the gateway for a request, which depends on the key of the request alone, except that
   * gateways that are down are skipped. Returns {@link #NO_GATEWAY} if all are down.
   */
  private int gatewayFor(Arrival arrival) {
    int count = cluster.fleet.gateways();
    int first = (int) Long.remainderUnsigned((arrival.key() * HASH_MULTIPLIER) >>> 16, count);
    for (int i = 0; i < count; i++) {
      if (transport.isUp((first + i) % count)) {
        return (first + i) % count;
      }
    }
    return NO_GATEWAY;
  }

  private void send(Request request, byte[] bytes) {
    ArrayDeque<HttpConnection> idle = idleConnections.get(request.gateway);
    HttpConnection connection = idle.pollLast();
    while (connection != null && connection.isStaleAt(cluster.now())) {
      connection.close();
      connection = idle.pollLast();
    }
    connection = connection == null ? new HttpConnection(request.gateway) : connection;
    connection.request = request;
    connection.send(bytes);
  }

  private void onResponse(HttpConnection connection, Request request, Response response) {
    String continuation = response.status() == OK ? response.continuationPath() : null;
    if (continuation != null) {
      request.path = continuation;
      fetchOrFail(connection, request);
      return;
    }
    connection.release();
    if (!request.ended) {
      onFinalResponse(request, response);
    }
  }

  /** Polls for the result, unless the fault chooser selects a fault of the client. */
  private void fetchOrFail(HttpConnection connection, Request request) {
    int fault = request.ended ? 0 : cluster.faults().choose("client", ClientFault.COUNT);
    switch (fault) {
      case ClientFault.RECONNECTS -> {
        connection.close();
        send(request, RequestEncoder.fetch(request.path));
      }
      case ClientFault.DISCONNECTS -> {
        connection.close();
        new HttpConnection(request.gateway).send(RequestEncoder.cancel(request.path));
        // The gateway may continue the request until it has received the cancellation.
        cluster.timeline.at(
            cluster.now() + DISCONNECT_DELAY,
            () -> {
              cluster.auditor.onClientDisconnected(cluster.now(), request.id, false);
              finish(request, End.CLIENT_GONE);
            });
      }
      default -> connection.send(RequestEncoder.fetch(request.path));
    }
  }

  private void onFinalResponse(Request request, Response response) {
    long responseTime = cluster.now() - request.sentAt;
    if (response.status() == OK) {
      if (!response.body().equals(Results.whole(request.id))) {
        cluster.auditor.onWrongResult(cluster.now(), request.id);
      }
      recordAnswer(
          request,
          Auditor.Answer.SUCCEEDED,
          responseTime <= request.requestClass.latencyObjective() ? End.IN_TIME : End.LATE);
    } else if (response.status() == UNAVAILABLE || response.status() == TOO_MANY_REQUESTS) {
      recordAnswer(request, Auditor.Answer.REJECTED, End.TURNED_BACK);
    } else {
      recordAnswer(request, Auditor.Answer.FAILED, End.BROKEN_OFF);
    }
  }

  private void recordAnswer(Request request, Auditor.Answer answer, End end) {
    cluster.auditor.onAnswer(cluster.now(), request.id, answer);
    finish(request, end);
  }

  private void finish(Request request, End end) {
    request.ended = true;
    openRequests.remove(request);
    cluster.forget(request.id);
    metrics.ended(
        request.sentAt - start,
        request.arrival.requestClass(),
        end,
        cluster.now() - request.sentAt);
  }

  /**
   * Continues a request whose connection ended without a response. The result is fetched again on
   * another connection, at most three times. A request that had no response at all is submitted
   * once more. Otherwise the client gives up.
   */
  private void retry(Request request) {
    if (request == null || request.ended) {
      return;
    }
    if (request.path != null && request.fetches++ < MAX_FETCHES) {
      send(request, RequestEncoder.fetch(request.path));
    } else if (request.path == null && request.fetches++ == 0) {
      // The gateway closed the idle connection while the request was on its way.
      send(request, encoder.submit(request.arrival, request.requestClass, request.id));
    } else {
      cluster.auditor.onClientDisconnected(cluster.now(), request.id, true);
      finish(request, End.CLIENT_GONE);
    }
  }

  /** Ends a request whose deadline has passed: the client disconnects and cancels it. */
  private void disconnectAtDeadline(Request request) {
    if (request.ended) {
      return;
    }
    cluster.auditor.onClientDisconnected(cluster.now(), request.id, true);
    finish(request, End.CLIENT_GONE);
    if (request.path != null) {
      new HttpConnection(request.gateway).send(RequestEncoder.cancel(request.path));
    }
  }

  private void onGatewayKilled(int gateway) {
    List.copyOf(connections.get(gateway)).forEach(HttpConnection::close);
    for (Request request : List.copyOf(openRequests)) {
      if (request.gateway == gateway) {
        finish(request, End.KILLED);
      }
    }
  }

  /** A client's HTTP connection to a gateway. */
  private final class HttpConnection implements ClientTransport.Listener {
    private final int gateway;
    private final HttpResponseParser parser = new HttpResponseParser();
    private final ClientTransport.Connection connection;
    private Request request;
    private boolean closed;
    private long idleSince;

    HttpConnection(int gateway) {
      this.gateway = gateway;
      connections.get(gateway).add(this);
      connection = transport.open(gateway, this);
    }

    void send(byte[] bytes) {
      connection.send(bytes);
    }

    @Override
    public void onBytes(byte[] bytes) {
      if (closed) {
        return;
      }
      try {
        parser.feed(bytes);
        for (Response response = parser.next();
            response != null && !closed;
            response = parser.next()) {
          Request current = request;
          if (current == null) {
            close();
          } else {
            onResponse(this, current, response);
          }
        }
      } catch (IllegalArgumentException e) {
        close();
        retry(request);
      }
    }

    void release() {
      request = null;
      idleSince = cluster.now();
      idleConnections.get(gateway).addLast(this);
    }

    boolean isStaleAt(long now) {
      return closed || now >= idleSince + MAX_IDLE_TIME;
    }

    /** Closes the connection from the client's side. */
    void close() {
      if (!closed) {
        markClosed();
        connection.disconnect();
      }
    }

    private void markClosed() {
      closed = true;
      connections.get(gateway).remove(this);
      idleConnections.get(gateway).remove(this);
    }

    @Override
    public void onClosed() {
      if (!closed) {
        markClosed();
        retry(request);
      }
    }
  }
}
