package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What a gateway says of the others. */
public final class Members {
  private Members() {}

  /** How each other one stands, in small letters, by its name. */
  public static Map<String, String> of(HttpEndpointClient door) throws IOException {
    HttpEndpointClient.Reply reply = door.get("/v1/members");
    if (reply.status() != 200) {
      throw new IOException("members: " + reply.status() + " " + reply.body());
    }
    Map<String, String> all = new TreeMap<>();
    if (reply.object().get("members") instanceof List<?> list) {
      for (Object one : list) {
        if (one instanceof Map<?, ?> member) {
          all.put(
              String.valueOf(member.get("name")),
              String.valueOf(member.get("reach")).toLowerCase(Locale.ROOT).replace('_', ' '));
        }
      }
    }
    return all;
  }
}
