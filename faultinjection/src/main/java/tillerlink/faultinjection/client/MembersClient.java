package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads which members a gateway knows. */
public final class MembersClient {
  private MembersClient() {}

  /** The reachability of each other gateway in lower case, by its name. */
  public static Map<String, String> of(HttpEndpointClient client) throws IOException {
    HttpEndpointClient.Reply reply = client.get("/v1/members");
    if (reply.status() != 200) {
      throw new IOException("members: " + reply.status() + " " + reply.body());
    }
    Map<String, String> all = new TreeMap<>();
    if (reply.object().get("members") instanceof List<?> list) {
      for (Object element : list) {
        if (element instanceof Map<?, ?> member) {
          all.put(
              String.valueOf(member.get("name")),
              String.valueOf(member.get("reach")).toLowerCase(Locale.ROOT).replace('_', ' '));
        }
      }
    }
    return all;
  }
}
