package tillerlink.faultinjection.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Checks the channel logs against the rules, from the observations of their clients. */
final class ChannelLogChecker {
  /** An append that a gateway accepted, with the number of disks that the gateway had lost. */
  private record Append(String gateway, int incarnation, String id) {}

  /** The observations of one channel. Places are positions in its log, from 0. */
  private static final class Channel {
    private final List<Append> appended = new ArrayList<>();
    private final Map<String, String> contents = new HashMap<>();
    private final Map<Long, String> stable = new TreeMap<>();
    private final Map<Long, String> reportedBy = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();

    /** The gateways in whose logs an entry was seen, by the id of the entry. */
    private final Map<String, Set<String>> seenAt = new HashMap<>();

    private final Set<String> excused = new HashSet<>();
    private final Map<String, List<ChannelLogEntry>> finalLogs = new TreeMap<>();
  }

  private final Violations violations;
  private final Map<String, Channel> channels = new TreeMap<>();
  private int appends;

  ChannelLogChecker(Violations violations) {
    this.violations = violations;
  }

  private Channel channel(String name) {
    return channels.computeIfAbsent(name, n -> new Channel());
  }

  /**
   * Records an accepted append, and checks that its idempotency key does not have two events.
   *
   * @param incarnation the number of disks that the gateway has lost; after a loss the same key
   *     counts as a different one, because the gateway's keys are lost with the disk
   * @param key the idempotency key, or null
   * @param id the id of the event
   */
  void appended(String name, String gateway, int incarnation, String key, String id) {
    Channel channel = channel(name);
    String before =
        key == null ? null : channel.keys.putIfAbsent(gateway + "/" + incarnation + "/" + key, id);
    if (before == null) {
      channel.appended.add(new Append(gateway, incarnation, id));
      appends++;
    } else if (!before.equals(id)) {
      violations.add(
          Rule.KEY_TWICE,
          name + " at " + gateway + ": key " + key + " has two events, " + before + " and " + id);
    }
  }

  /**
   * Excuses the loss of the entries that a gateway accepted and that were seen at no other gateway
   * before its disk was lost.
   */
  void diskLost(String gateway) {
    for (Channel channel : channels.values()) {
      for (Append append : channel.appended) {
        Set<String> others = channel.seenAt.getOrDefault(append.id, Set.of());
        if (append.gateway.equals(gateway) && others.stream().allMatch(gateway::equals)) {
          channel.excused.add(append.id);
        }
      }
    }
  }

  /** Records entries that a client read from a gateway, and checks their content and places. */
  void read(String name, String gateway, List<ChannelLogEntry> lines) {
    Channel channel = channel(name);
    for (ChannelLogEntry line : lines) {
      channel.seenAt.computeIfAbsent(line.id(), id -> new HashSet<>()).add(gateway);
      checkContent(name, channel, gateway, line);
      if (line.stable()) {
        checkStable(name, channel, gateway, line);
      }
    }
  }

  private void checkContent(String name, Channel channel, String gateway, ChannelLogEntry line) {
    String content = channel.contents.putIfAbsent(line.id(), line.content());
    if (content != null && !content.equals(line.content())) {
      violations.add(
          Rule.TWO_CONTENTS,
          name
              + ": the content of "
              + line.id()
              + " was '"
              + content
              + "', and at "
              + gateway
              + " is '"
              + line.content()
              + "'");
    }
  }

  /** Checks the place of a stable entry; a provisional one may still move, so it is not checked. */
  private void checkStable(String name, Channel channel, String gateway, ChannelLogEntry line) {
    String before = channel.stable.get(line.place());
    if (before == null) {
      channel.stable.put(line.place(), line.id());
      channel.reportedBy.put(line.place(), gateway);
    } else if (!before.equals(line.id())) {
      violations.add(
          Rule.STABLE_CHANGED,
          name
              + ": place "
              + line.place()
              + " was "
              + before
              + " as "
              + channel.reportedBy.get(line.place())
              + " reported, and is "
              + line.id()
              + " at "
              + gateway);
    }
  }

  /** Records the whole log of a gateway after the logs have settled. */
  void last(String name, String gateway, List<ChannelLogEntry> lines) {
    read(name, gateway, lines);
    channel(name).finalLogs.put(gateway, List.copyOf(lines));
  }

  int appends() {
    return appends;
  }

  void end() {
    channels.forEach(this::end);
  }

  private void end(String name, Channel channel) {
    List<String> first = null;
    String firstGateway = null;
    for (Map.Entry<String, List<ChannelLogEntry>> entry : channel.finalLogs.entrySet()) {
      List<String> ids = entry.getValue().stream().map(ChannelLogEntry::id).toList();
      checkAppends(name, entry.getKey(), ids, channel);
      checkStableAtEnd(name, entry.getKey(), entry.getValue(), channel);
      if (first != null && !first.equals(ids)) {
        int place = 0;
        while (place < Math.min(first.size(), ids.size())
            && first.get(place).equals(ids.get(place))) {
          place++;
        }
        violations.add(
            Rule.LOGS_DIFFER,
            name
                + ": "
                + firstGateway
                + " has "
                + first.size()
                + " entries, "
                + entry.getKey()
                + " "
                + ids.size()
                + "; they differ from place "
                + place
                + " on");
      }
      first = first == null ? ids : first;
      firstGateway = firstGateway == null ? entry.getKey() : firstGateway;
    }
    if (first != null) {
      checkOrder(name, channel, first);
    }
  }

  private void checkAppends(String name, String gateway, List<String> ids, Channel channel) {
    Map<String, Integer> count = new HashMap<>();
    ids.forEach(id -> count.merge(id, 1, Integer::sum));
    Set<String> reported = new HashSet<>();
    for (Append append : channel.appended) {
      int times = count.getOrDefault(append.id, 0);
      if (times != 1
          && !(times == 0 && channel.excused.contains(append.id))
          && reported.add(append.id)) {
        violations.add(
            Rule.APPEND_LOST,
            name
                + ": "
                + append.id
                + ", which "
                + append.gateway
                + " accepted, is "
                + (times == 0 ? "not" : times + " times")
                + " in the log of "
                + gateway);
      }
    }
  }

  private void checkStableAtEnd(
      String name, String gateway, List<ChannelLogEntry> lines, Channel channel) {
    Map<Long, String> idByPlace = new HashMap<>();
    lines.forEach(line -> idByPlace.put(line.place(), line.id()));
    channel.stable.forEach(
        (place, id) -> {
          if (!id.equals(idByPlace.get(place))) {
            violations.add(
                Rule.STABLE_CHANGED,
                name
                    + ": place "
                    + place
                    + " was "
                    + id
                    + " as "
                    + channel.reportedBy.get(place)
                    + " reported, and is "
                    + idByPlace.get(place)
                    + " at "
                    + gateway
                    + " at the end of the run");
          }
        });
  }

  /**
   * Checks that the appends of one gateway keep their order: the gateway had seen the earlier ones
   * when it accepted a later one.
   */
  private void checkOrder(String name, Channel channel, List<String> log) {
    Map<String, Integer> places = new HashMap<>();
    for (int i = 0; i < log.size(); i++) {
      places.put(log.get(i), i);
    }
    Map<String, Append> before = new HashMap<>();
    for (Append append : channel.appended) {
      Append earlier = before.put(append.gateway + "/" + append.incarnation, append);
      Integer place = places.get(append.id);
      Integer earlierPlace = earlier == null ? null : places.get(earlier.id);
      if (place != null && earlierPlace != null && place < earlierPlace) {
        violations.add(
            Rule.ORDER_OF_CAUSE,
            name
                + ": "
                + append.id
                + " is placed before "
                + earlier.id
                + ", which "
                + append.gateway
                + " had accepted earlier");
      }
    }
  }
}
