package tillerlink.faultinjection.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.LogLine;

/** The logs of channels as a client of one gateway uses them. */
public final class Channels {
  private static final String PATH = "/v1/channels/";

  private Channels() {}

  /**
   * Appends.
   *
   * @param kind cue, correction, retraction, air or note
   * @return the event's id; null if it was refused for now
   * @throws IOException if nobody knows whether it was taken, or it can't be
   */
  public static String append(
      HttpEndpointClient door,
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
        door.post(PATH + channel, Map.of("X-Operation-Key", key), body.append('}').toString());
    if (reply.status() == 503) {
      return null;
    }
    if (reply.status() != 200 || !(reply.object().get("id") instanceof String id)) {
      throw new IOException("append to " + channel + ": " + reply.status() + " " + reply.body());
    }
    return id;
  }

  /** The log from a place on, to its end. */
  public static List<LogLine> log(HttpEndpointClient door, String channel, long from)
      throws IOException {
    List<LogLine> lines = new ArrayList<>();
    long next = from;
    for (boolean more = true; more; ) {
      HttpEndpointClient.Reply reply = door.get(PATH + channel + "/log/" + next);
      if (reply.status() != 200 || !(reply.object().get("events") instanceof List<?> events)) {
        throw new IOException("log of " + channel + ": " + reply.status() + " " + reply.body());
      }
      for (Object one : events) {
        lines.add(line((Map<?, ?>) one));
      }
      next = lines.isEmpty() ? next : lines.get(lines.size() - 1).place() + 1;
      more = Boolean.TRUE.equals(reply.object().get("more")) && !events.isEmpty();
    }
    return lines;
  }

  private static LogLine line(Map<?, ?> event) {
    Map<Object, Object> content = new LinkedHashMap<>(event);
    content.keySet().removeAll(List.of("index", "stable", "late", "repeat"));
    long place = event.get("index") instanceof Number number ? number.longValue() : -1;
    return new LogLine(
        place,
        String.valueOf(event.get("id")),
        Boolean.TRUE.equals(event.get("stable")),
        content.toString());
  }
}
