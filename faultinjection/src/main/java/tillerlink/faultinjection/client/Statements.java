package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.Map;

/**
 * Prepared statements and schemas as a client of one gateway uses them. All are of one table group.
 */
public final class Statements {
  private Statements() {}

  /**
   * Prepares a statement with one parameter, a text.
   *
   * @param uses what of the group it relies on, as 17:orders.city
   * @return its generation; 0 if it was refused for now, or nobody knows
   */
  public static long prepare(
      HttpEndpointClient door, String name, String text, int group, String uses, boolean effectful)
      throws IOException {
    HttpEndpointClient.Reply reply =
        door.post(
            "/v1/statements/" + name,
            Map.of(),
            "{\"text\":\""
                + text
                + "\",\"parameters\":[\"text\"],\"groups\":["
                + group
                + "],\"uses\":[\""
                + uses
                + "\"],\"track\":\""
                + (effectful ? "book" : "look")
                + "\",\"effect\":\""
                + (effectful ? "effectful" : "pure")
                + "\"}");
    return number(reply, "generation");
  }

  /**
   * Announces that a name of a group is another from now on; the number of the change, 0 if nobody
   * knows.
   */
  public static long rename(HttpEndpointClient door, int group, String from, String to)
      throws IOException {
    HttpEndpointClient.Reply reply =
        door.post(
            "/v1/schemas/" + group, Map.of(), "{\"renamed\":{\"" + from + "\":\"" + to + "\"}}");
    return number(reply, "change");
  }

  /**
   * The version of a group's schema that is in effect as the gateway knows it; below 0 while a
   * change is awaited.
   */
  public static long version(HttpEndpointClient door, int group) throws IOException {
    HttpEndpointClient.Reply reply = door.get("/v1/schemas/" + group);
    if (reply.status() != 200) {
      throw new IOException("schema " + group + ": " + reply.status() + " " + reply.body());
    }
    return number(reply, "version");
  }

  /** Runs by name, with the mark as the one parameter. */
  public static HttpEndpointClient.Reply run(
      HttpEndpointClient door, String name, String id, String mark, long deadlineMs)
      throws IOException {
    return door.post(
        "/v1/run/" + name,
        Map.of(
            "X-Correlation-Id",
            id,
            "X-Deadline-Ms",
            Long.toString(deadlineMs),
            "X-Estimate-Ms",
            "5"),
        "{\"parameters\":[\"" + mark + "\"]}");
  }

  private static long number(HttpEndpointClient.Reply reply, String name) throws IOException {
    if (reply.status() == 200 && reply.object().get(name) instanceof Number number) {
      return number.longValue();
    }
    if (reply.status() == 503 || reply.status() == 409 || reply.status() == 202) {
      return 0;
    }
    throw new IOException(name + ": " + reply.status() + " " + reply.body());
  }
}
