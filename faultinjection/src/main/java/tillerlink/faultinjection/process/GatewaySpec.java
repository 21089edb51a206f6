package tillerlink.faultinjection.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration of one gateway of a cluster.
 *
 * @param folder its folder with configuration, log and store
 * @param name its name
 * @param site its site
 * @param http the port at which it listens for clients
 * @param members the port at which it listens for other gateways
 * @param reach the ports of loopback at which it reaches the other gateways
 * @param channelVoters the gateways, one of each site, that agree on what is stable in channel logs
 * @param voters the gateways of which a majority grants leases
 * @param discovery the port of the discovery service
 * @param engines the ports at which it reaches engines e1, e2, ...
 * @param shared which components of shared state are on
 */
public record GatewaySpec(
    Path folder,
    String name,
    String site,
    int http,
    int members,
    Map<String, Integer> reach,
    List<String> channelVoters,
    List<String> voters,
    int discovery,
    List<Integer> engines,
    Shared shared) {
  /** The components of shared state; each includes those before it. */
  public enum Shared {
    NOTHING,
    MEMBERS,
    CHANNELS,
    STATEMENTS
  }

  /** Copies the map. */
  public GatewaySpec {
    reach = new TreeMap<>(reach);
  }
}
