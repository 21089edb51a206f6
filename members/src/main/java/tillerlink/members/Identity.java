package tillerlink.members;

import java.nio.charset.StandardCharsets;
import java.util.List;
import tillerlink.messages.members.MemberCodec;

/**
 * The identity of the local member.
 *
 * @param fleet the name of the fleet; the envelope reader drops messages from other fleets
 * @param name the member's name, which is the same after a restart; 1 to 64 bytes
 * @param site the member's site; at most 64 bytes
 * @param address host:port at which other members reach this one; 1 to 100 bytes
 * @param seeds the addresses of members to contact at the start, host:port
 * @param persistedIncarnation the incarnation that an earlier process persisted; 0 if there is none
 */
public record Identity(
    String fleet,
    String name,
    String site,
    String address,
    List<String> seeds,
    long persistedIncarnation) {
  /**
   * Copies the seeds and checks the lengths.
   *
   * @throws IllegalArgumentException if the name, site or address is too long, or the name or
   *     address is empty
   */
  public Identity {
    seeds = List.copyOf(seeds);
    requireLength("name", name, 1, MemberCodec.MAX_NAME_BYTES);
    requireLength("site", site, 0, MemberCodec.MAX_SITE_BYTES);
    requireLength("address", address, 1, MemberCodec.MAX_ADDRESS_BYTES);
  }

  private static void requireLength(String field, String text, int min, int max) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    if (bytes < min || bytes > max) {
      throw new IllegalArgumentException(
          field + " has " + bytes + " bytes, expected " + min + " to " + max);
    }
  }
}
