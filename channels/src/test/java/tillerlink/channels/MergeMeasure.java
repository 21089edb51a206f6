package tillerlink.channels;

import java.util.List;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.simulation.Fault;

/**
 * A measurement of the cost of merging two sides of a network partition, which is not run as a
 * test. The arguments are numbers of events written at the isolated gateway; for each number and
 * each kind of link it prints a table row with the virtual time, the bytes sent and the throughput.
 * Without arguments it measures the memory that events take.
 */
final class MergeMeasure {
  private static final List<String> GATEWAYS = List.of("n1", "s1", "w1");

  private MergeMeasure() {}

  public static void main(String[] args) {
    System.out.println(
        "| events behind | link | all known after s | all stable after s | bytes missing | bytes"
            + " sent | ratio | events a second of one core |");
    for (String arg : args) {
      int events = Integer.parseInt(arg);
      measureLink(events, "0.2 to 1 ms", Fault.NONE);
      measureLink(events, "20 to 50 ms", Fault.slow(200, 500));
      measureLink(events, "20 to 50 ms, 5% lost", Fault.bad(0.05, 0, 500));
    }
    if (args.length == 0) {
      measureMemory(100_000);
    }
  }

  private static Fleet partitioned(int events) {
    Fleet fleet =
        new Fleet(1, GATEWAYS, ChannelLogConfig.of(GATEWAYS, 100_000, 60_000, 1L << 30, 64));
    fleet.startAll();
    fleet.net.playFor(3 * Fleet.SECOND);
    fleet.cut(List.of("w1"));
    for (int i = 0; i < events; i++) {
      fleet.append(
          "w1", "news", Fleet.cue("c" + i % 1000, "a line of a subtitle as it may well be " + i));
      if (i % 200 == 199) {
        fleet.net.playFor(20);
      }
    }
    fleet.net.playFor(1000);
    return fleet;
  }

  private static void measureLink(int events, String link, Fault fault) {
    Fleet fleet = partitioned(events);
    long missing = 0;
    for (Page.Line line : fleet.running.get("w1").read("news", 0, Fleet.ALL).lines()) {
      Entry entry = line.entry();
      missing += 2L * EntryCodec.bytes(entry).length;
    }
    fleet.net.setDefaultFault(fault);
    fleet.net.heal();
    long start = fleet.net.now();
    long sentBefore = fleet.net.sentBytes();
    long elapsedNanos = System.nanoTime();
    long knownAt = 0;
    while (fleet.running.values().stream()
        .anyMatch(channels -> channels.state().stable() < events)) {
      fleet.net.playFor(500);
      if (knownAt == 0
          && fleet.running.values().stream()
              .allMatch(
                  channels ->
                      channels.state().stable() + channels.state().provisional() >= events)) {
        knownAt = fleet.net.now();
      }
      if (fleet.net.now() - start > 2000 * Fleet.SECOND) {
        System.out.println(
            "gateways did not converge within 2000 s: " + fleet.running.get("n1").state());
        return;
      }
    }
    elapsedNanos = System.nanoTime() - elapsedNanos;
    long sent = fleet.net.sentBytes() - sentBefore;
    System.out.printf(
        "| %d | %s | %.1f | %.1f | %d | %d | %.2f | %.0f |%n",
        events,
        link,
        (knownAt - start) / 1e4,
        (fleet.net.now() - start) / 1e4,
        missing,
        sent,
        (double) sent / missing,
        2 * events / (elapsedNanos / 1e9));
  }

  private static void measureMemory(int events) {
    // The first run loads the classes, so that they are not counted in the measurement.
    partitioned(0);
    long before = usedMemory();
    Fleet fleet = partitioned(events);
    fleet.appended.clear();
    fleet.writers.clear();
    fleet.disks.clear();
    long after = usedMemory();
    System.out.printf(
        "%d events take %d bytes in memory at the gateway that wrote them, with their stored form;"
            + " it accounts for %d%n",
        events, after - before, fleet.running.get("w1").state().bytes());
  }

  private static long usedMemory() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
