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
 * The clients of a replay, an open-loop load: each request is sent at its arrival time, independent
 * of the outcome of earlier ones, to a gateway that is up, and its result is fetched by the HTTP
 * protocol of the gateway.
 */
public final class ReplayClients {
  private static final int MAX_FETCHES = 3;

  /** Added to each deadline, in tenths of a millisecond: 50 ms for the sockets. */
  private static final long DEADLINE_SLACK = 500;

  private static final long DISCONNECT_DELAY = 10;
  private static final long MAX_IDLE_TIME = 4 * ReplayMetrics.SECOND;

  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int NO_GATEWAY = -1;

  /** Faults of a client that polls; the number is the choice of the fault chooser. */
  private static final class ClientFault {
    static final int RECONNECTS = 1;
    static final int DISCONNECTS = 2;
    static final int COUNT = 3;
  }

  /** One request and its client. */
  private static final class Request {
    private final Arrival arrival;
    private final RequestClassSpec requestClass;
    private final String id;
    private final int gateway;
    private final long sentAt;
    private String path;
    private int fetches;
    private boolean over;

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

  /** Clients of that cluster, which use the transport and report to the metrics. */
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

  /** Sets the start of the run, which is now otherwise. */
  public void startAt(long time) {
    start = time;
  }

  /** How many requests wait for their responses. */
  public int open() {
    return openRequests.size();
  }

  /** Sends a request that arrives now. */
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

  /** The gateway follows from the request alone, skipping gateways that are down. */
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
    ArrayDeque<HttpConnection> free = idleConnections.get(request.gateway);
    HttpConnection connection = free.pollLast();
    while (connection != null && connection.isStaleAt(cluster.now())) {
      connection.close();
      connection = free.pollLast();
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
    if (!request.over) {
      onFinalResponse(request, response);
    }
  }

  /** Polls for the result, unless a client fault is chosen. */
  private void fetchOrFail(HttpConnection connection, Request request) {
    int fault = request.over ? 0 : cluster.faults().choose("client", ClientFault.COUNT);
    switch (fault) {
      case ClientFault.RECONNECTS -> {
        connection.close();
        send(request, RequestEncoder.fetch(request.path));
      }
      case ClientFault.DISCONNECTS -> {
        connection.close();
        new HttpConnection(request.gateway).send(RequestEncoder.cancel(request.path));
        // The gateway rightly goes on until it has received the cancellation.
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
    long took = cluster.now() - request.sentAt;
    if (response.status() == OK) {
      if (!response.body().equals(Results.whole(request.id))) {
        cluster.auditor.onWrongResult(cluster.now(), request.id);
      }
      answered(
          request,
          Auditor.Answer.SUCCEEDED,
          took <= request.requestClass.latencyObjective() ? End.IN_TIME : End.LATE);
    } else if (response.status() == UNAVAILABLE || response.status() == TOO_MANY_REQUESTS) {
      answered(request, Auditor.Answer.REJECTED, End.TURNED_BACK);
    } else {
      answered(request, Auditor.Answer.FAILED, End.BROKEN_OFF);
    }
  }

  private void answered(Request request, Auditor.Answer answer, End end) {
    cluster.auditor.onAnswer(cluster.now(), request.id, answer);
    finish(request, end);
  }

  private void finish(Request request, End end) {
    request.over = true;
    openRequests.remove(request);
    cluster.forget(request.id);
    metrics.ended(
        request.sentAt - start,
        request.arrival.requestClass(),
        end,
        cluster.now() - request.sentAt);
  }

  /**
   * The connection ended without a response: the result is fetched again on another connection,
   * three times at most.
   */
  private void retry(Request request) {
    if (request == null || request.over) {
      return;
    }
    if (request.path != null && request.fetches++ < MAX_FETCHES) {
      send(request, RequestEncoder.fetch(request.path));
    } else if (request.path == null && request.fetches++ == 0) {
      // The request crossed the gateway's close of an idle connection.
      send(request, encoder.submit(request.arrival, request.requestClass, request.id));
    } else {
      cluster.auditor.onClientDisconnected(cluster.now(), request.id, true);
      finish(request, End.CLIENT_GONE);
    }
  }

  /** The deadline has passed: the client disconnects. */
  private void disconnectAtDeadline(Request request) {
    if (request.over) {
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
    private boolean over;
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
      if (over) {
        return;
      }
      try {
        parser.feed(bytes);
        for (Response response = parser.next();
            response != null && !over;
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
      return over || now >= idleSince + MAX_IDLE_TIME;
    }

    /** The client closes the connection. */
    void close() {
      if (!over) {
        forget();
        connection.disconnect();
      }
    }

    private void forget() {
      over = true;
      connections.get(gateway).remove(this);
      idleConnections.get(gateway).remove(this);
    }

    @Override
    public void onClosed() {
      if (!over) {
        forget();
        retry(request);
      }
    }
  }
}
