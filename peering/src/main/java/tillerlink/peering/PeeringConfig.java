package tillerlink.peering;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration of a gateway's participation in a fleet.
 *
 * @param fleet the fleet's name
 * @param site the name of this gateway's site
 * @param listen the UDP address for messages of other gateways as host:port, the host as an IP
 *     address
 * @param seeds addresses of some members; may include this gateway's own address
 * @param secret the key that messages are sealed with, or null if messages are not sealed
 * @param addressOverrides addresses by gateway name that are used instead of the announced ones
 * @param probeInterval the time between two probes, in tenths of a millisecond
 * @param directory the directory for shared state, or null if it is not persisted
 * @param maxStoredBytes the maximum size of the persisted state in bytes
 */
public record PeeringConfig(
    String fleet,
    String site,
    String listen,
    List<String> seeds,
    byte[] secret,
    Map<String, String> addressOverrides,
    long probeInterval,
    Path directory,
    long maxStoredBytes) {
  /** Copies the mutable arguments. */
  public PeeringConfig {
    seeds = List.copyOf(seeds);
    addressOverrides = new TreeMap<>(addressOverrides);
    secret = secret == null ? null : secret.clone();
  }
}
