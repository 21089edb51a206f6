package tillerlink.members;

import java.nio.charset.StandardCharsets;
import java.util.List;
import tillerlink.messages.members.MemberCodec;

/**
 * Who this process is.
 *
 * @param fleet name of the fleet; others' messages are kept away by whoever reads the envelope
 * @param name own name, the same after a restart; 1 to 64 bytes
 * @param site at most 64 bytes
 * @param address host:port where others reach it; 1 to 100 bytes
 * @param seeds addresses of some members
 * @param before the incarnation that was kept; 0 if none was
 */
public record Identity(
    String fleet, String name, String site, String address, List<String> seeds, long before) {
  public Identity {
    seeds = List.copyOf(seeds);
    bound("name", name, 1, MemberCodec.MAX_NAME_BYTES);
    bound("site", site, 0, MemberCodec.MAX_SITE_BYTES);
    bound("address", address, 1, MemberCodec.MAX_ADDRESS_BYTES);
  }

  private static void bound(String what, String text, int least, int most) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    if (bytes < least || bytes > most) {
      throw new IllegalArgumentException(
          what + " has " + bytes + " bytes, not " + least + " to " + most);
    }
  }
}
