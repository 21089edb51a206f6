package tillerlink.net.http2;

import java.util.Set;
import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;

/**
 * Creates HTTP/2 transports for the configured engine kinds; engines of other kinds are reached
 * over engine lines.
 *
 * @param all whether all engine kinds are reached over HTTP/2, whatever {@code kinds} contains
 * @param kinds the engine kinds that are reached over HTTP/2
 * @param maxStreams the most streams on one connection; 0 for the built-in limit
 */
public record Http2TransportFactory(boolean all, Set<String> kinds, int maxStreams)
    implements EngineTransport.Factory {
  @Override
  public EngineTransport create(
      EngineTransport.Owner owner, EngineAddress engineAddress, String kind) {
    return all || kinds.contains(kind)
        ? new Http2Transport(owner, engineAddress, maxStreams)
        : null;
  }
}
