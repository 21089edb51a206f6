package tillerlink.faultinjection.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a gateway of the fleet is told at its start.
 *
 * @param folder its own folder: files, log, store
 * @param name its name
 * @param site the site that it stands at
 * @param http the port at which it listens for clients
 * @param members the port at which it listens for other gateways
 * @param reach at which port of loopback it reaches each other gateway
 * @param counted the gateways, one of each site, that agree on what is stable in channels' logs
 * @param voters the gateways whose majority grants leases
 * @param names the port of the discovery service
 * @param engines the ports at which it reaches engines e1, e2, ...
 * @param shared which parts are on
 */
public record Plan(
    Path folder,
    String name,
    String site,
    int http,
    int members,
    Map<String, Integer> reach,
    List<String> counted,
    List<String> voters,
    int names,
    List<Integer> engines,
    Shared shared) {
  /** The parts that gateways share, each with those before it. */
  public enum Shared {
    NOTHING,
    MEMBERS,
    CHANNELS,
    STATEMENTS
  }

  public Plan {
    reach = new TreeMap<>(reach);
  }
}
