package tillerlink.members;

import java.nio.charset.StandardCharsets;
import java.util.List;
import tillerlink.messages.members.MemberCodec;

/**
 * Who the local member is.
 *
 * @param fleet name of the fleet; messages of other fleets are dropped by the reader of the
 *     envelope
 * @param name the member's name, the same after a restart; 1 to 64 bytes
 * @param site at most 64 bytes
 * @param address host:port where others reach it; 1 to 100 bytes
 * @param seeds addresses of some members
 * @param persistedIncarnation the incarnation that an earlier process persisted; 0 if none did
 */
public record Identity(
    String fleet,
    String name,
    String site,
    String address,
    List<String> seeds,
    long persistedIncarnation) {
  /**
   * Checks the lengths.
   *
   * @throws IllegalArgumentException if a text is too long, or the name or address is empty
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
