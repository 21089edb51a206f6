package tillerlink.fleet;

import tillerlink.fakes.EngineProtocolServer;
import tillerlink.fakes.Http2Server;
import tillerlink.fakes.LineProtocolServer;

/** A kind of engine; memory is megabytes. */
public record Kind(String name, int cores, double memory, boolean http2) {
  private static final int STREAMS_MOST = 100;

  /** An engine's side of a new connection. */
  public EngineProtocolServer side() {
    return http2 ? new Http2Server(STREAMS_MOST) : new LineProtocolServer();
  }
}
