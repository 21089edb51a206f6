package tillerlink.net.state;

import java.util.function.Consumer;
import tillerlink.model.Settings;
import tillerlink.net.wire.HttpParseError;
import tillerlink.net.wire.HttpParseResult;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;

/**
 * Routes what clients request. A submission is answered at once with the path of its result; a GET
 * of that path is answered once the result is there. Owned by the event-loop thread.
 */
final class ClientRequestHandler {
  private static final String HEALTH = "/healthz";
  private static final String METRICS = "/metrics";

  private final GatewayContext context;
  private final RequestRegistry requests;
  private final ClientConnections connections;
  private final RetainedBytes retained;

  /** Handles some paths, or null. */
  private GatewayExtension extension;

  /** The process is to end soon; requests are still accepted. */
  private boolean draining;

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

  void setExtension(GatewayExtension added) {
    extension = added;
  }

  // ---- for client connections ----

  ClientConnection onConnected(Channel channel) {
    ClientConnection connection = new ClientConnection(this, channel);
    connections.add(connection);
    return connection;
  }

  long now() {
    return context.now();
  }

  /** Calls back once all that could be read of any connection has been processed. */
  void afterPendingReads(Runnable then) {
    context.driver().runAfterPendingReads(then);
  }

  /** Whether no further request is accepted. */
  boolean closing() {
    return requests.isClosed();
  }

  /** A whole request, or what can't be one, has come on a connection. */
  void handle(ClientConnection client, HttpParseResult item) {
    if (item instanceof HttpParseError error) {
      client.refuse(HttpResponse.problem(error.status(), error.problem(), 0));
      return;
    }
    HttpRequest http = (HttpRequest) item;
    if (http.last() || closing()) {
      client.closeAfterAnswer();
    }
    if (extension != null && extension.handlesPath(http.path())) {
      passToExtension(client, http);
      return;
    }
    switch (http.method()) {
      case GET -> get(client, http.path());
      case POST -> post(client, http);
      case DELETE -> delete(client, http.path());
      default -> client.refuse(HttpResponse.problem(405, "Method", 0));
    }
  }

  private void passToExtension(ClientConnection client, HttpRequest http) {
    if (retained.isFull() && http.body().length > 0) {
      client.answer(requests.overloaded());
    } else {
      extension.onRequest(http, client.answerLater());
    }
  }

  private void get(ClientConnection client, String path) {
    if (path.equals(HEALTH)) {
      client.answer(draining ? HttpResponse.problem(503, "Draining", 0) : HttpResponse.done());
    } else if (path.equals(METRICS)) {
      client.answer(HttpResponse.text(context.telemetry().metrics().exposition()));
    } else {
      requests.fetch(client, requests.find(path));
    }
  }

  private void post(ClientConnection client, HttpRequest http) {
    PendingResponse pending = requests.submit(http, null, client::answer);
    if (pending != null) {
      client.onSubmitted(pending);
    }
  }

  private void delete(ClientConnection client, String path) {
    PendingResponse pending = requests.find(path);
    if (pending != null) {
      requests.cancel(pending);
    }
    client.answer(pending == null ? HttpResponse.unknown() : HttpResponse.done());
  }

  // ---- time ----

  /**
   * Ends what has waited too long.
   *
   * @param timeOut ends the attempts of a request whose deadline has passed
   */
  void sweep(Consumer<PendingResponse> timeOut) {
    requests.sweep(timeOut);
    connections.sweep();
  }

  /** The process is to end soon; it goes on serving what comes. */
  void drain() {
    draining = true;
  }

  /** No further request is accepted; connections close once nothing is owed on them. */
  void close() {
    requests.close();
    connections.onClosing();
  }

  /** Whether every answer has been written. */
  boolean allAnswered() {
    return requests.allHandedOut() && !connections.anyBusy();
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
