package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.ChannelLogEntry;

/** Appends to channel logs and reads them through one gateway. */
public final class ChannelsClient {
  private static final String PATH = "/v1/channels/";

  private ChannelsClient() {}

  /**
   * Appends an event to a channel's log.
   *
   * @param key the idempotency key
   * @param kind the kind of event: cue, correction, retraction, air or note
   * @param cue the name of the cue that the event is about, or empty
   * @param airsMs the time at which the cue airs, in milliseconds; not sent unless above 0
   * @return the id of the event; null if the gateway rejected the append for now (status 503)
   * @throws IOException if the outcome is unknown, or the gateway rejected the append for another
   *     reason
   */
  public static String append(
      HttpEndpointClient client,
      String channel,
      String key,
      String kind,
      String cue,
      String text,
      long airsMs)
      throws IOException {
    StringBuilder body =
        new StringBuilder("{\"kind\":\"" + kind + "\",\"cue\":\"" + cue + "\",\"text\":\"")
            .append(text)
            .append('"');
    if (airsMs > 0) {
      body.append(",\"airs_ms\":").append(airsMs);
    }
    HttpEndpointClient.Reply reply =
        client.post(PATH + channel, Map.of("X-Operation-Key", key), body.append('}').toString());
    if (reply.status() == 503) {
      return null;
    }
    if (reply.status() != 200 || !(reply.object().get("id") instanceof String id)) {
      throw new IOException(
          "append to channel " + channel + " failed: " + reply.status() + " " + reply.body());
    }
    return id;
  }

  /**
   * Reads a channel's log to its end, page by page.
   *
   * @param from the first place to read, from 0
   * @throws IOException if the gateway cannot be reached or does not return entries
   */
  public static List<ChannelLogEntry> log(HttpEndpointClient client, String channel, long from)
      throws IOException {
    List<ChannelLogEntry> entries = new ArrayList<>();
    long next = from;
    for (boolean more = true; more; ) {
      HttpEndpointClient.Reply reply = client.get(PATH + channel + "/log/" + next);
      if (reply.status() != 200 || !(reply.object().get("events") instanceof List<?> events)) {
        throw new IOException(
            "reading the log of channel "
                + channel
                + " failed: "
                + reply.status()
                + " "
                + reply.body());
      }
      for (Object event : events) {
        entries.add(toEntry((Map<?, ?>) event));
      }
      next = entries.isEmpty() ? next : entries.get(entries.size() - 1).place() + 1;
      more = Boolean.TRUE.equals(reply.object().get("more")) && !events.isEmpty();
    }
    return entries;
  }

  private static ChannelLogEntry toEntry(Map<?, ?> event) {
    Map<Object, Object> content = new LinkedHashMap<>(event);
    content.keySet().removeAll(List.of("index", "stable", "late", "repeat"));
    long place = event.get("index") instanceof Number number ? number.longValue() : -1;
    return new ChannelLogEntry(
        place,
        String.valueOf(event.get("id")),
        Boolean.TRUE.equals(event.get("stable")),
        content.toString());
  }
}
