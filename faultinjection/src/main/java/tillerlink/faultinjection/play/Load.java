package tillerlink.faultinjection.play;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.harness.ProcessCluster;

/** What clients do meanwhile: one of them for each gateway, each with a seed of its own. */
abstract class Load {
  final ProcessCluster rig;
  final Audit audit;
  final Disturbed disturbed;
  private final long seed;
  private final List<Thread> threads = new java.util.ArrayList<>();
  private volatile boolean over;

  Load(ProcessCluster rig, Audit audit, Disturbed disturbed, long seed) {
    this.rig = rig;
    this.audit = audit;
    this.disturbed = disturbed;
    this.seed = seed;
  }

  /** Asks one thing of a gateway, and tells the audit. */
  abstract void once(String gateway, RandomGenerator chance) throws IOException;

  /** How long a client waits between, in milliseconds, on average. */
  abstract long paceMs();

  final void begin() {
    for (String gateway : rig.names()) {
      String own = getClass().getSimpleName() + "-" + gateway;
      RandomGenerator chance = new SplittableRandom(seed ^ own.hashCode() * 0x9e3779b97f4a7c15L);
      Thread thread = new Thread(() -> go(gateway, chance, () -> !over), own);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void go(String gateway, RandomGenerator chance, BooleanSupplier goesOn) {
    while (goesOn.getAsBoolean()) {
      try {
        once(gateway, chance);
      } catch (IOException e) {
        // Nobody there, or it broke on the way: what that means the load has told the audit.
      }
      pause(1 + chance.nextLong(2 * paceMs()));
    }
  }

  final void end() {
    over = true;
    for (Thread thread : threads) {
      try {
        thread.join(60_000);
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
