package tillerlink.faultinjection.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration of one gateway of a cluster.
 *
 * @param folder the folder for the gateway's configuration, log and store
 * @param name the name of the gateway
 * @param site the name of the gateway's site
 * @param http the port on which the gateway listens for clients
 * @param members the port on which the gateway listens for other gateways
 * @param reach the loopback ports at which the gateway reaches each other gateway, by name
 * @param channelVoters the gateways, one of each site, that agree on which entries of channel logs
 *     are stable
 * @param voters the gateways that vote on the statement log; a majority of them grants leases
 * @param discovery the port of the discovery service
 * @param engines the ports at which the gateway reaches engines e1, e2, ...
 * @param shared the components of shared state that are enabled
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
  /** The enabled components of shared state; each value includes those before it. */
  public enum Shared {
    NOTHING,
    MEMBERS,
    CHANNELS,
    STATEMENTS
  }

  /** Copies the ports of the other gateways. */
  public GatewaySpec {
    reach = new TreeMap<>(reach);
  }
}
