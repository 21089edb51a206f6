package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.Map;

/**
 * Prepares and runs statements and changes schemas through one gateway. Each statement belongs to
 * one table group.
 */
public final class StatementsClient {
  private StatementsClient() {}

  /**
   * Prepares a statement with one text parameter.
   *
   * @param uses the column that the statement depends on, with its group, such as {@code
   *     17:orders.city}
   * @param effectful whether the statement must not run twice
   * @return the generation; 0 if the gateway rejected the statement for now or does not know the
   *     outcome
   * @throws IOException if the gateway cannot be reached or reports another error
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
   * Announces that a name of a group's schema is replaced by another one.
   *
   * @return the number of the schema change; 0 if the gateway rejected it for now or does not know
   *     the outcome
   * @throws IOException if the gateway cannot be reached or reports another error
   */
  public static long rename(HttpEndpointClient client, int group, String from, String to)
      throws IOException {
    HttpEndpointClient.Reply reply =
        client.post(
            "/v1/schemas/" + group, Map.of(), "{\"renamed\":{\"" + from + "\":\"" + to + "\"}}");
    return number(reply, "change");
  }

  /**
   * Returns the version of a group's schema that is in effect according to the gateway; below 0
   * while a change is pending.
   *
   * @throws IOException if the gateway cannot be reached or does not report the version
   */
  public static long version(HttpEndpointClient client, int group) throws IOException {
    HttpEndpointClient.Reply reply = client.get("/v1/schemas/" + group);
    if (reply.status() != 200) {
      throw new IOException(
          "reading the schema of group "
              + group
              + " failed: "
              + reply.status()
              + " "
              + reply.body());
    }
    return number(reply, "version");
  }

  /**
   * Runs a prepared statement by its name, with a marker as its only parameter.
   *
   * @param id the correlation id, 16 hexadecimal digits
   * @param deadlineMs the time that the run may take, in milliseconds
   */
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

  /** Returns a number field; 0 for a temporary rejection or an unknown outcome. */
  private static long number(HttpEndpointClient.Reply reply, String name) throws IOException {
    if (reply.status() == 200 && reply.object().get(name) instanceof Number number) {
      return number.longValue();
    }
    if (reply.status() == 503 || reply.status() == 409 || reply.status() == 202) {
      return 0;
    }
    throw new IOException(
        "expected a number '" + name + "', got " + reply.status() + " " + reply.body());
  }
}
