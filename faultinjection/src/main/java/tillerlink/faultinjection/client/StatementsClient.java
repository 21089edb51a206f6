package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.Map;

/**
 * Prepares and runs statements and changes schemas, as a client of one gateway. All statements are
 * of one table group.
 */
public final class StatementsClient {
  private StatementsClient() {}

  /**
   * Prepares a statement with one parameter, a text.
   *
   * @param uses the names of the group that it depends on, as 17:orders.city
   * @return its generation; 0 if it was rejected for now, or the outcome is unknown
   */
  public static long prepare(
      HttpEndpointClient client,
      String name,
      String text,
      int group,
      String uses,
      boolean effectful)
      throws IOException {
    HttpEndpointClient.Reply reply =
        client.post(
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
  public static long rename(HttpEndpointClient client, int group, String from, String to)
      throws IOException {
    HttpEndpointClient.Reply reply =
        client.post(
            "/v1/schemas/" + group, Map.of(), "{\"renamed\":{\"" + from + "\":\"" + to + "\"}}");
    return number(reply, "change");
  }

  /**
   * The version of a group's schema that is in effect as the gateway knows it; below 0 while a
   * change is awaited.
   */
  public static long version(HttpEndpointClient client, int group) throws IOException {
    HttpEndpointClient.Reply reply = client.get("/v1/schemas/" + group);
    if (reply.status() != 200) {
      throw new IOException("schema " + group + ": " + reply.status() + " " + reply.body());
    }
    return number(reply, "version");
  }

  /** Runs a prepared statement by its name, with the marker as its only parameter. */
  public static HttpEndpointClient.Reply run(
      HttpEndpointClient client, String name, String id, String marker, long deadlineMs)
      throws IOException {
    return client.post(
        "/v1/run/" + name,
        Map.of(
            "X-Correlation-Id",
            id,
            "X-Deadline-Ms",
            Long.toString(deadlineMs),
            "X-Estimate-Ms",
            "5"),
        "{\"parameters\":[\"" + marker + "\"]}");
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
