package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.ChannelLogEntry;

/** Appends to channel logs and reads them, as a client of one gateway. */
public final class ChannelsClient {
  private static final String PATH = "/v1/channels/";

  private ChannelsClient() {}

  /**
   * Appends.
   *
   * @param kind cue, correction, retraction, air or note
   * @return the event's id; null if it was rejected for now
   * @throws IOException if it is unknown whether it was appended, or it can't be
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
      throw new IOException("append to " + channel + ": " + reply.status() + " " + reply.body());
    }
    return id;
  }

  /** Reads the log from a place to its end. */
  public static List<ChannelLogEntry> log(HttpEndpointClient client, String channel, long from)
      throws IOException {
    List<ChannelLogEntry> lines = new ArrayList<>();
    long next = from;
    for (boolean more = true; more; ) {
      HttpEndpointClient.Reply reply = client.get(PATH + channel + "/log/" + next);
      if (reply.status() != 200 || !(reply.object().get("events") instanceof List<?> events)) {
        throw new IOException("log of " + channel + ": " + reply.status() + " " + reply.body());
      }
      for (Object event : events) {
        lines.add(line((Map<?, ?>) event));
      }
      next = lines.isEmpty() ? next : lines.get(lines.size() - 1).place() + 1;
      more = Boolean.TRUE.equals(reply.object().get("more")) && !events.isEmpty();
    }
    return lines;
  }

  private static ChannelLogEntry line(Map<?, ?> event) {
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
