package tillerlink.members.measure;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import tillerlink.cluster.ClusterComponent;
import tillerlink.members.MemberFleet;
import tillerlink.simulation.Fault;
import tillerlink.simulation.SimulatedFleet;

/**
 * A failure detector with all-to-all heartbeats, measured only for comparison. It uses either a
 * fixed timeout or an accrual detector, which assumes that the gaps between heartbeats are
 * exponentially distributed with the measured mean, and declares a failure if phi exceeds 8.
 */
final class HeartbeatDetector implements ClusterComponent {
  private static final long INTERVAL = MemberFleet.SECOND / 2;
  private static final long FIXED_TIMEOUT = 5 * INTERVAL;
  private static final double MAX_PHI = 8;
  private static final int HEARTBEAT_BYTES = 40;

  private static final class Peer {
    long lastHeartbeatAt;
    double meanGap = INTERVAL;
    boolean failed;
  }

  /** The measurements of one simulation. */
  private static final class Counts {
    final Percentiles detectionTimes = new Percentiles();
    long falseAlarms;
    String deadName = "";
    long diedAt;
  }

  private final SimulatedFleet fleet;
  private final String name;
  private final int size;
  private final boolean accrual;
  private final Counts counts;
  private final Map<String, Peer> peers = new TreeMap<>();
  private long dueAt;

  private HeartbeatDetector(
      SimulatedFleet fleet,
      String name,
      int size,
      boolean accrual,
      Counts counts,
      long firstDueAt) {
    this.fleet = fleet;
    this.name = name;
    this.size = size;
    this.accrual = accrual;
    this.counts = counts;
    dueAt = firstDueAt;
  }

  @Override
  public void onMessage(long now, long wall, String from, byte[] body) {
    Peer peer = peers.computeIfAbsent(from, any -> new Peer());
    if (peer.lastHeartbeatAt > 0) {
      peer.meanGap = (9 * peer.meanGap + now - peer.lastHeartbeatAt) / 10;
    }
    peer.lastHeartbeatAt = now;
    peer.failed = false;
  }

  @Override
  public void tick(long now, long wall) {
    if (now < dueAt) {
      return;
    }
    dueAt = now + INTERVAL;
    for (int i = 0; i < size; i++) {
      if (!name.equals("h" + i)) {
        fleet.sender(name).send("h" + i, new byte[HEARTBEAT_BYTES]);
      }
    }
    peers.forEach((other, peer) -> check(now, other, peer));
  }

  private void check(long now, String other, Peer peer) {
    long silence = now - peer.lastHeartbeatAt;
    boolean expired =
        accrual ? silence / peer.meanGap * Math.log10(Math.E) > MAX_PHI : silence > FIXED_TIMEOUT;
    if (!expired || peer.failed) {
      return;
    }
    peer.failed = true;
    if (other.equals(counts.deadName)) {
      counts.detectionTimes.add(now - counts.diedAt);
    } else if (fleet.isUp(other)) {
      counts.falseAlarms++;
    }
  }

  @Override
  public long nextDueAt() {
    return dueAt;
  }

  @Override
  public void onPause(long now, long wall, long duration) {
    // This detector trusts timeouts that expired during a pause.
  }

  static String measure(int size, double lossRate, boolean accrual) {
    SimulatedFleet fleet = new SimulatedFleet(new Random(size));
    Counts counts = new Counts();
    Random random = new Random(1);
    for (int i = 0; i < size; i++) {
      fleet.start(
          "h" + i,
          new HeartbeatDetector(
              fleet, "h" + i, size, accrual, counts, random.nextInt((int) INTERVAL)));
    }
    fleet.setDefaultFault(Fault.lossy(lossRate));
    fleet.playFor(30 * MemberFleet.SECOND);
    counts.falseAlarms = 0;
    long bytes = fleet.sentBytes();
    long start = fleet.now();
    for (int i = 0; i < 4; i++) {
      counts.deadName = "h" + (2 + 5 * i);
      counts.diedAt = fleet.now();
      fleet.kill(counts.deadName);
      fleet.playFor(30 * MemberFleet.SECOND);
    }
    double seconds = (fleet.now() - start) / (double) MemberFleet.SECOND;
    return String.format(
        "| %s | %d | %.0f%% | %s | %s | %s | %.1f | %.0f |",
        accrual ? "accrual, phi 8" : "failed after 2.5 s",
        size,
        lossRate * 100,
        counts.detectionTimes.seconds(0.5),
        counts.detectionTimes.seconds(0.99),
        counts.detectionTimes.seconds(1),
        counts.falseAlarms / (seconds / 3600) / size / (size - 1),
        (fleet.sentBytes() - bytes) / seconds / size);
  }
}
