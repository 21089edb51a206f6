package tillerlink.net.state;

import java.util.function.Consumer;
import tillerlink.model.Settings;
import tillerlink.net.wire.HttpParseError;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;

/**
 * Routes the HTTP requests of clients. A submission is answered immediately with the path of its
 * result; a GET of that path is answered once the result is available. Confined to the event-loop
 * thread.
 */
final class ClientRequestHandler {
  private static final String HEALTH_PATH = "/healthz";
  private static final String METRICS_PATH = "/metrics";

  private final GatewayContext context;
  private final RequestRegistry requests;
  private final ClientConnections connections;
  private final RetainedBytes retained;

  /** The extension, which handles the requests for some paths; null if the gateway has none. */
  private GatewayExtension extension;

  /** The process will end soon; requests are still accepted, but the health check fails. */
  private boolean draining;

  /**
   * Creates a handler with no requests and no connections.
   *
   * @param maxClients the limit on client connections
   * @param retained counts the bytes that are retained for clients
   */
  ClientRequestHandler(
      GatewayContext context, Settings settings, int maxClients, RetainedBytes retained) {
    this.context = context;
    this.retained = retained;
    requests = new RequestRegistry(context, settings, retained);
    connections = new ClientConnections(context, maxClients);
  }

  RequestRegistry requests() {
    return requests;
  }

  ClientConnections connections() {
    return connections;
  }

  RetainedBytes retained() {
    return retained;
  }

  void setExtension(GatewayExtension newExtension) {
    extension = newExtension;
  }

  // ---- for client connections ----

  /** Called when a client has connected; returns the owner of its channel. */
  ClientConnection onConnected(Channel channel) {
    ClientConnection connection = new ClientConnection(this, channel);
    connections.add(connection);
    return connection;
  }

  /** Returns the time of the current iteration, in tenths of a millisecond. */
  long now() {
    return context.now();
  }

  /**
   * Runs an action once all input that could be read from any connection when this method was
   * called has been processed.
   */
  void afterPendingReads(Runnable action) {
    context.driver().runAfterPendingReads(action);
  }

  /** Returns whether the gateway has stopped accepting requests. */
  boolean closing() {
    return requests.isClosed();
  }

  /** Handles the next complete request, or the parse error, of a client connection. */
  void handle(ClientConnection client, HttpParseResult parsed) {
    if (parsed instanceof HttpParseError error) {
      client.refuse(HttpResponse.problem(error.status(), error.problem(), 0));
      return;
    }
    HttpRequest request = (HttpRequest) parsed;
    if (request.closesConnection() || closing()) {
      client.closeAfterAnswer();
    }
    if (extension != null && extension.handlesPath(request.path())) {
      passToExtension(client, request);
      return;
    }
    switch (request.method()) {
      case GET -> handleGet(client, request.path());
      case POST -> handlePost(client, request);
      case DELETE -> handleDelete(client, request.path());
      default -> client.refuse(HttpResponse.problem(405, "Method", 0));
    }
  }

  private void passToExtension(ClientConnection client, HttpRequest request) {
    int bytes = request.retainedBytes();
    if (retained.tryReserve(bytes)) {
      extension.onRequest(request, client.answerLater(bytes));
    } else {
      client.answer(requests.overloaded());
    }
  }

  private void handleGet(ClientConnection client, String path) {
    if (path.equals(HEALTH_PATH)) {
      client.answer(draining ? HttpResponse.problem(503, "Draining", 0) : HttpResponse.done());
    } else if (path.equals(METRICS_PATH)) {
      client.answer(HttpResponse.text(context.telemetry().metrics().exposition()));
    } else {
      requests.fetch(client, requests.findByResultPath(path));
    }
  }

  private void handlePost(ClientConnection client, HttpRequest request) {
    requests.submit(request, null, client::answer);
  }

  private void handleDelete(ClientConnection client, String path) {
    PendingResponse pending = requests.findByResultPath(path);
    if (pending != null) {
      requests.cancel(pending);
    }
    client.answer(pending == null ? HttpResponse.unknown() : HttpResponse.done());
  }

  // ---- time ----

  /**
   * Checks the deadlines of all requests and the timeouts of all client connections.
   *
   * @param timeOut ends the attempts of a request whose deadline has passed
   */
  void sweep(Consumer<PendingResponse> timeOut) {
    requests.sweep(timeOut);
    connections.sweep();
  }

  /** Makes the health check fail because the process will end soon; requests are still accepted. */
  void drain() {
    draining = true;
  }

  /** Stops accepting requests; each connection closes after its last pending answer. */
  void close() {
    requests.close();
    connections.onClosing();
  }

  /** Returns whether every answer has been written. */
  boolean allAnswered() {
    return requests.allDelivered() && !connections.hasUnsentAnswers();
  }

  @Override
  public String toString() {
    return requests.size()
        + " requests, "
        + connections.size()
        + " client connections, "
        + retained.bytes() / 1024
        + " KB retained";
  }
}
