package tillerlink.fleet;

import tillerlink.fakes.EngineSide;
import tillerlink.fakes.H2Side;

/** A kind of engine; memory is megabytes. */
public record Kind(String name, int cores, double memory, boolean http2) {
  private static final int STREAMS_MOST = 100;

  /** An engine's side of a new connection. */
  public EngineSide side() {
    return http2 ? new H2Side(STREAMS_MOST) : new EngineSide.Lines();
  }
}
