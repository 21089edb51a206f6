package tillerlink.net.http2;

import java.util.Set;
import tillerlink.net.state.Carrier;
import tillerlink.net.state.EngineSite;

/** Which kinds of engines are reached over HTTP/2; the others over engine lines. */
public record H2Carriers(boolean all, Set<String> kinds, int streamsMost)
    implements Carrier.Factory {
  @Override
  public Carrier of(Carrier.Owner owner, EngineSite site, String kind) {
    return all || kinds.contains(kind) ? new H2Carrier(owner, site, streamsMost) : null;
  }
}
