package tillerlink.faultinjection.soak;

/**
 * The one clock of a run, in milliseconds since its start, and how far the rig itself was behind:
 * what it sees late it must not hold against a gateway.
 */
final class SoakClock {
  private static final long BEAT_MS = 10;
  private static final int KEPT = 512;

  private final long began = System.nanoTime();
  private final double[] lags = new double[KEPT];
  private volatile boolean ended;
  private double worst;
  private int beats;

  SoakClock() {
    Thread thread = new Thread(this::beat, "soak-clock");
    thread.setDaemon(true);
    thread.start();
  }

  double now() {
    return (System.nanoTime() - began) / 1e6;
  }

  private void beat() {
    while (!ended) {
      double due = now() + BEAT_MS;
      try {
        Thread.sleep(BEAT_MS);
      } catch (InterruptedException e) {
        return;
      }
      note(now() - due);
    }
  }

  private synchronized void note(double lag) {
    lags[beats++ % KEPT] = lag;
    worst = Math.max(worst, lag);
  }

  /** The most by which the rig was late in the last seconds. */
  synchronized double lag() {
    double most = 0;
    for (double lag : lags) {
      most = Math.max(most, lag);
    }
    return most;
  }

  /** The most of the whole run. */
  synchronized double worstLag() {
    return worst;
  }

  void end() {
    ended = true;
  }
}
