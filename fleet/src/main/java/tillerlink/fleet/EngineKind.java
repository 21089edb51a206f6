package tillerlink.fleet;

import tillerlink.fakes.EngineProtocolServer;
import tillerlink.fakes.Http2Server;
import tillerlink.fakes.LineProtocolServer;

/**
 * An engine kind: engines of the same size that speak the same protocol.
 *
 * @param cores the number of cores of an engine
 * @param memory the memory of an engine, in megabytes
 * @param http2 whether its engines speak HTTP/2 instead of the line protocol
 */
public record EngineKind(String name, int cores, double memory, boolean http2) {
  private static final int MAX_STREAMS = 100;

  /** Returns a new server side of a connection to an engine of this kind. */
  public EngineProtocolServer newServer() {
    return http2 ? new Http2Server(MAX_STREAMS) : new LineProtocolServer();
  }
}
