package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads the members of the fleet as one gateway reports them. */
public final class MembersClient {
  private MembersClient() {}

  /**
   * Returns the reachability of each other gateway, by name. Values are in lower case with blanks,
   * such as {@code through others}.
   *
   * @throws IOException if the gateway cannot be reached or does not list its members
   */
  public static Map<String, String> of(HttpEndpointClient client) throws IOException {
    HttpEndpointClient.Reply reply = client.get("/v1/members");
    if (reply.status() != 200) {
      throw new IOException("reading the members failed: " + reply.status() + " " + reply.body());
    }
    Map<String, String> reachability = new TreeMap<>();
    if (reply.object().get("members") instanceof List<?> list) {
      for (Object element : list) {
        if (element instanceof Map<?, ?> member) {
          reachability.put(
              String.valueOf(member.get("name")),
              String.valueOf(member.get("reach")).toLowerCase(Locale.ROOT).replace('_', ' '));
        }
      }
    }
    return reachability;
  }
}
