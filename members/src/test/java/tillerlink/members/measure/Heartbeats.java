package tillerlink.members.measure;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import tillerlink.cluster.ClusterComponent;
import tillerlink.members.Play;
import tillerlink.simulation.Fault;
import tillerlink.simulation.SimulatedFleet;

/**
 * All-to-all heartbeats, with a fixed time or with an accrual detector (phi of the gaps seen, taken
 * as exponential after the mean, given up at 8): for comparison only.
 */
final class Heartbeats implements ClusterComponent {
  private static final long EVERY = Play.SECOND / 2;
  private static final long FIXED = 5 * EVERY;
  private static final double PHI = 8;
  private static final int BYTES = 40;

  private static final class Seen {
    long last;
    double gap = EVERY;
    boolean gone;
  }

  /** Counts of one play. */
  private static final class Tally {
    final Spread found = new Spread();
    long falsely;
    String dead = "";
    long deadAt;
  }

  private final SimulatedFleet fleet;
  private final String name;
  private final int size;
  private final boolean accrual;
  private final Tally tally;
  private final Map<String, Seen> seen = new TreeMap<>();
  private long dueAt;

  private Heartbeats(
      SimulatedFleet fleet, String name, int size, boolean accrual, Tally tally, long first) {
    this.fleet = fleet;
    this.name = name;
    this.size = size;
    this.accrual = accrual;
    this.tally = tally;
    dueAt = first;
  }

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    Seen of = seen.computeIfAbsent(from, any -> new Seen());
    if (of.last > 0) {
      of.gap = (9 * of.gap + now - of.last) / 10;
    }
    of.last = now;
    of.gone = false;
  }

  @Override
  public void tick(long now, long wall) {
    if (now < dueAt) {
      return;
    }
    dueAt = now + EVERY;
    for (int i = 0; i < size; i++) {
      if (!name.equals("h" + i)) {
        fleet.sender(name).send("h" + i, new byte[BYTES]);
      }
    }
    seen.forEach((other, of) -> look(now, other, of));
  }

  private void look(long now, String other, Seen of) {
    long silent = now - of.last;
    boolean over = accrual ? silent / of.gap * Math.log10(Math.E) > PHI : silent > FIXED;
    if (!over || of.gone) {
      return;
    }
    of.gone = true;
    if (other.equals(tally.dead)) {
      tally.found.add(now - tally.deadAt);
    } else if (fleet.isUp(other)) {
      tally.falsely++;
    }
  }

  @Override
  public long nextDueAt() {
    return dueAt;
  }

  @Override
  public void onPause(long now, long wall, long lasted) {
    // it trusts what ran out
  }

  static String play(int size, double lost, boolean accrual) {
    SimulatedFleet fleet = new SimulatedFleet(new Random(size));
    Tally tally = new Tally();
    Random random = new Random(1);
    for (int i = 0; i < size; i++) {
      fleet.start(
          "h" + i,
          new Heartbeats(fleet, "h" + i, size, accrual, tally, random.nextInt((int) EVERY)));
    }
    fleet.setDefaultFault(Fault.lossy(lost));
    fleet.playFor(30 * Play.SECOND);
    tally.falsely = 0;
    long bytes = fleet.sentBytes();
    long start = fleet.now();
    for (int i = 0; i < 4; i++) {
      tally.dead = "h" + (2 + 5 * i);
      tally.deadAt = fleet.now();
      fleet.kill(tally.dead);
      fleet.playFor(30 * Play.SECOND);
    }
    double seconds = (fleet.now() - start) / (double) Play.SECOND;
    return String.format(
        "| %s | %d | %.0f%% | %s | %s | %s | %.1f | %.0f |",
        accrual ? "accrual, phi 8" : "gone after 2.5 s",
        size,
        lost * 100,
        tally.found.seconds(0.5),
        tally.found.seconds(0.99),
        tally.found.seconds(1),
        tally.falsely / (seconds / 3600) / size / (size - 1),
        (fleet.sentBytes() - bytes) / seconds / size);
  }
}
