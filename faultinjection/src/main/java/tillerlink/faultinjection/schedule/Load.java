package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.harness.ProcessCluster;

/** Clients that run during a schedule: one per gateway, each with its own seed. */
abstract class Load {
  private static final long JOIN_TIMEOUT_MS = 60_000;

  final ProcessCluster cluster;
  final Audit audit;
  final DisruptionTracker disruptions;
  private final long seed;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean ended;

  Load(ProcessCluster cluster, Audit audit, DisruptionTracker disruptions, long seed) {
    this.cluster = cluster;
    this.audit = audit;
    this.disruptions = disruptions;
    this.seed = seed;
  }

  /** Sends one request to a gateway, and reports to the audit. */
  abstract void once(String gateway, RandomGenerator chance) throws IOException;

  /** A part of the seed that stays when the class is renamed, so that old seeds can be replayed. */
  abstract String seedName();

  /** The average pause of a client between requests, in milliseconds. */
  abstract long paceMs();

  final void begin() {
    for (String gateway : cluster.names()) {
      String clientName = seedName() + "-" + gateway;
      RandomGenerator chance =
          new SplittableRandom(seed ^ (clientName.hashCode() * 0x9e3779b97f4a7c15L));
      Thread thread = new Thread(() -> sendUntilEnd(gateway, chance, () -> !ended), clientName);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void sendUntilEnd(String gateway, RandomGenerator chance, BooleanSupplier isRunning) {
    while (isRunning.getAsBoolean()) {
      try {
        once(gateway, chance);
      } catch (IOException e) {
        // The connection failed, which the load has reported to the audit.
      }
      pause(1 + chance.nextLong(2 * paceMs()));
    }
  }

  final void end() {
    ended = true;
    for (Thread thread : threads) {
      try {
        thread.join(JOIN_TIMEOUT_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
