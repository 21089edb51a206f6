package tillerlink.peering;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How this gateway takes part in a fleet.
 *
 * @param fleet the fleet's name
 * @param site the site of this gateway
 * @param listen host:port at which other gateways reach it by UDP; the host is an IP address
 * @param seeds addresses of some members; its own may be among them
 * @param secret the key that messages are sealed with, or null for none
 * @param addressOverrides addresses by the name of a gateway, in place of the one that it announces
 * @param probeInterval between two probes, in tenths of a millisecond
 * @param directory where shared state is persisted, or null for nowhere
 * @param maxStoredBytes bound of what is persisted there
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
  /** Copies what is mutable. */
  public PeeringConfig {
    seeds = List.copyOf(seeds);
    addressOverrides = new TreeMap<>(addressOverrides);
    secret = secret == null ? null : secret.clone();
  }
}
