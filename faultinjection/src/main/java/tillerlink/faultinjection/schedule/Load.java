package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.harness.ProcessCluster;

/** A load that runs during a schedule, with one client per gateway, each with its own seed. */
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

  /**
   * Sends one request to a gateway, and reports the outcome to the audit.
   *
   * @throws IOException if the connection failed, after that was reported to the audit
   */
  abstract void sendOne(String gateway, RandomGenerator random) throws IOException;

  /**
   * Returns a name from which the seeds of the clients are derived. It stays when the class is
   * renamed, so that earlier seeds can be replayed.
   */
  abstract String seedName();

  /** Returns the mean pause of a client between two requests, in milliseconds. */
  abstract long meanPauseMs();

  /** Starts the clients. */
  final void begin() {
    for (String gateway : cluster.names()) {
      String clientName = seedName() + "-" + gateway;
      RandomGenerator random =
          new SplittableRandom(seed ^ (clientName.hashCode() * 0x9e3779b97f4a7c15L));
      Thread thread = new Thread(() -> sendUntilEnd(gateway, random, () -> !ended), clientName);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void sendUntilEnd(String gateway, RandomGenerator random, BooleanSupplier isRunning) {
    while (isRunning.getAsBoolean()) {
      try {
        sendOne(gateway, random);
      } catch (IOException e) {
        // The connection failed, which the load has already reported to the audit.
      }
      pause(1 + random.nextLong(2 * meanPauseMs()));
    }
  }

  /** Stops the clients, and waits for their last requests. */
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
