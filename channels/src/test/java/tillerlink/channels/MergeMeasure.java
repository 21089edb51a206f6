package tillerlink.channels;

import java.util.List;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.simulation.Fault;

/**
 * Measures, outside the tests, what it takes to come together after a cut, in virtual time: run its
 * main with how many events each of two sides wrote. Prints a table's row for each link.
 */
final class MergeMeasure {
  private static final List<String> THREE = List.of("n1", "s1", "w1");

  private MergeMeasure() {}

  public static void main(String[] args) {
    System.out.println(
        "| events behind | link | all held after s | all stable after s | bytes missing | bytes"
            + " moved | times | events a second of one core |");
    for (String arg : args) {
      int events = Integer.parseInt(arg);
      row(events, "0.2 to 1 ms", Fault.NONE);
      row(events, "20 to 50 ms", Fault.slow(200, 500));
      row(events, "20 to 50 ms, 5% lost", Fault.bad(0.05, 0, 500));
    }
    if (args.length == 0) {
      memory(100_000);
    }
  }

  private static Fleet apart(int events) {
    Fleet fleet = new Fleet(1, THREE, ChannelLogConfig.of(THREE, 100_000, 60_000, 1L << 30, 64));
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

  private static void row(int events, String link, Fault fault) {
    Fleet fleet = apart(events);
    long missing = 0;
    for (Page.Line line : fleet.running.get("w1").read("news", 0, Fleet.ALL).lines()) {
      Entry entry = line.entry();
      missing += 2L * EntryCodec.bytes(entry).length;
    }
    fleet.net.setDefaultFault(fault);
    fleet.net.heal();
    long began = fleet.net.now();
    long bytes = fleet.net.sentBytes();
    long cpu = System.nanoTime();
    long held = 0;
    while (fleet.running.values().stream().anyMatch(one -> one.state().stable() < events)) {
      fleet.net.playFor(500);
      if (held == 0
          && fleet.running.values().stream()
              .allMatch(one -> one.state().stable() + one.state().provisional() >= events)) {
        held = fleet.net.now();
      }
      if (fleet.net.now() - began > 2000 * Fleet.SECOND) {
        System.out.println("did not come together: " + fleet.running.get("n1").state());
        return;
      }
    }
    cpu = System.nanoTime() - cpu;
    long moved = fleet.net.sentBytes() - bytes;
    System.out.printf(
        "| %d | %s | %.1f | %.1f | %d | %d | %.2f | %.0f |%n",
        events,
        link,
        (held - began) / 1e4,
        (fleet.net.now() - began) / 1e4,
        missing,
        moved,
        (double) moved / missing,
        2 * events / (cpu / 1e9));
  }

  private static void memory(int events) {
    // The first run loads the classes, so that they don't count.
    apart(0);
    long before = used();
    Fleet fleet = apart(events);
    fleet.answered.clear();
    fleet.texts.clear();
    fleet.disks.clear();
    long after = used();
    System.out.printf(
        "%d events take %d bytes in memory at the gateway that wrote them, with their kept form; it"
            + " counts %d%n",
        events, after - before, fleet.running.get("w1").state().bytes());
  }

  private static long used() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
