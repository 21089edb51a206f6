package tillerlink.net.http2;

import java.util.Set;
import tillerlink.net.state.EngineAddress;
import tillerlink.net.state.EngineTransport;

/** Which kinds of engines are reached over HTTP/2; the others over engine lines. */
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
