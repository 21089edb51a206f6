package tillerlink.faultinjection.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Channel logs, as their writers and readers saw them. */
final class Logs {
  /** An append that a gateway took. */
  private record Taken(String gateway, int life, String id) {}

  private static final class Channel {
    private final List<Taken> taken = new ArrayList<>();
    private final Map<String, String> contents = new HashMap<>();
    private final Map<Long, String> stable = new TreeMap<>();
    private final Map<Long, String> toldBy = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();

    /** By id, the gateway that was seen to have it beside the one that took it. */
    private final Map<String, Set<String>> seenAt = new HashMap<>();

    private final Set<String> excused = new HashSet<>();
    private final Map<String, List<LogLine>> last = new TreeMap<>();
  }

  private final Violations violations;
  private final Map<String, Channel> channels = new TreeMap<>();
  private int appends;

  Logs(Violations violations) {
    this.violations = violations;
  }

  private Channel channel(String name) {
    return channels.computeIfAbsent(name, n -> new Channel());
  }

  /**
   * @param life counts the disks that the gateway had: a lost one does not remember keys, nor what
   *     came before
   * @param key the client's, or null
   */
  void taken(String name, String gateway, int life, String key, String id) {
    Channel channel = channel(name);
    String before =
        key == null ? null : channel.keys.putIfAbsent(gateway + "/" + life + "/" + key, id);
    if (before == null) {
      channel.taken.add(new Taken(gateway, life, id));
      appends++;
    } else if (!before.equals(id)) {
      violations.add(
          Rule.KEY_TWICE,
          name + " at " + gateway + ": key " + key + " gave " + before + " and " + id);
    }
  }

  /** A gateway's disk is lost: what nobody else was seen to have may be gone with it. */
  void diskLost(String gateway) {
    for (Channel channel : channels.values()) {
      for (Taken taken : channel.taken) {
        Set<String> others = channel.seenAt.getOrDefault(taken.id, Set.of());
        if (taken.gateway.equals(gateway) && others.stream().allMatch(gateway::equals)) {
          channel.excused.add(taken.id);
        }
      }
    }
  }

  /** A gateway's log, or a piece of it. */
  void read(String name, String gateway, List<LogLine> lines) {
    Channel channel = channel(name);
    for (LogLine line : lines) {
      channel.seenAt.computeIfAbsent(line.id(), id -> new HashSet<>()).add(gateway);
      String content = channel.contents.putIfAbsent(line.id(), line.content());
      if (content != null && !content.equals(line.content())) {
        violations.add(
            Rule.TWO_CONTENTS,
            name
                + ": "
                + line.id()
                + " is '"
                + content
                + "' and at "
                + gateway
                + " '"
                + line.content()
                + "'");
      }
      String before = channel.stable.get(line.place());
      if (line.stable() && before == null) {
        channel.stable.put(line.place(), line.id());
        channel.toldBy.put(line.place(), gateway);
      }
      // Also a provisional entry at a place that was told as stable elsewhere must be the same by
      // the end; while
      // it is provisional it may yet move.
      if (line.stable() && before != null && !before.equals(line.id())) {
        violations.add(
            Rule.STABLE_CHANGED,
            name
                + ": place "
                + line.place()
                + " was "
                + before
                + " as "
                + channel.toldBy.get(line.place())
                + " told, and is "
                + line.id()
                + " at "
                + gateway);
      }
    }
  }

  /** The whole log of a gateway at rest. */
  void last(String name, String gateway, List<LogLine> lines) {
    read(name, gateway, lines);
    channel(name).last.put(gateway, List.copyOf(lines));
  }

  int appends() {
    return appends;
  }

  void end() {
    channels.forEach(this::end);
  }

  private void end(String name, Channel channel) {
    List<String> first = null;
    String whose = null;
    for (Map.Entry<String, List<LogLine>> one : channel.last.entrySet()) {
      List<String> ids = one.getValue().stream().map(LogLine::id).toList();
      holdsAll(name, one.getKey(), ids, channel);
      stableStands(name, one.getKey(), one.getValue(), channel);
      if (first != null && !first.equals(ids)) {
        int at = 0;
        while (at < Math.min(first.size(), ids.size()) && first.get(at).equals(ids.get(at))) {
          at++;
        }
        violations.add(
            Rule.LOGS_DIFFER,
            name
                + ": "
                + whose
                + " has "
                + first.size()
                + " entries, "
                + one.getKey()
                + " "
                + ids.size()
                + "; they differ from place "
                + at
                + " on");
      }
      first = first == null ? ids : first;
      whose = whose == null ? one.getKey() : whose;
    }
    if (first != null) {
      inOrder(name, channel, first);
    }
  }

  private void holdsAll(String name, String gateway, List<String> ids, Channel channel) {
    Map<String, Integer> count = new HashMap<>();
    ids.forEach(id -> count.merge(id, 1, Integer::sum));
    Set<String> told = new HashSet<>();
    for (Taken taken : channel.taken) {
      int n = count.getOrDefault(taken.id, 0);
      if (n != 1 && !(n == 0 && channel.excused.contains(taken.id)) && told.add(taken.id)) {
        violations.add(
            Rule.APPEND_LOST,
            name
                + ": "
                + taken.id
                + ", which "
                + taken.gateway
                + " took, is "
                + (n == 0 ? "not" : n + " times")
                + " in the log of "
                + gateway);
      }
    }
  }

  private void stableStands(String name, String gateway, List<LogLine> lines, Channel channel) {
    Map<Long, String> at = new HashMap<>();
    lines.forEach(line -> at.put(line.place(), line.id()));
    channel.stable.forEach(
        (place, id) -> {
          if (!id.equals(at.get(place))) {
            violations.add(
                Rule.STABLE_CHANGED,
                name
                    + ": place "
                    + place
                    + " was "
                    + id
                    + " as "
                    + channel.toldBy.get(place)
                    + " told, and is "
                    + at.get(place)
                    + " at "
                    + gateway
                    + " in the end");
          }
        });
  }

  /** What one gateway took later stands later, as it had seen what it took before. */
  private void inOrder(String name, Channel channel, List<String> log) {
    Map<String, Integer> places = new HashMap<>();
    for (int i = 0; i < log.size(); i++) {
      places.put(log.get(i), i);
    }
    Map<String, Taken> before = new HashMap<>();
    for (Taken taken : channel.taken) {
      Taken earlier = before.put(taken.gateway + "/" + taken.life, taken);
      Integer place = places.get(taken.id);
      Integer other = earlier == null ? null : places.get(earlier.id);
      if (place != null && other != null && place < other) {
        violations.add(
            Rule.ORDER_OF_CAUSE,
            name
                + ": "
                + taken.id
                + " stands before "
                + earlier.id
                + ", which "
                + taken.gateway
                + " had taken before");
      }
    }
  }
}
