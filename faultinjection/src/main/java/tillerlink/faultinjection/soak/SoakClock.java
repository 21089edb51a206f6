package tillerlink.faultinjection.soak;

/**
 * The clock of a run, in milliseconds since its start, which also measures how far the harness
 * itself lags, so that its own delays are not counted against a gateway.
 */
final class SoakClock {
  private static final long INTERVAL_MS = 10;
  private static final int LAGS_KEPT = 512;

  private final long startNanos = System.nanoTime();
  private final double[] lags = new double[LAGS_KEPT];
  private volatile boolean ended;
  private double worst;
  private int measurements;

  SoakClock() {
    Thread thread = new Thread(this::measure, "soak-clock");
    thread.setDaemon(true);
    thread.start();
  }

  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  private void measure() {
    while (!ended) {
      double due = now() + INTERVAL_MS;
      try {
        Thread.sleep(INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
      record(now() - due);
    }
  }

  private synchronized void record(double lag) {
    lags[measurements++ % LAGS_KEPT] = lag;
    worst = Math.max(worst, lag);
  }

  /** The greatest lag in the last seconds. */
  synchronized double lag() {
    double max = 0;
    for (double lag : lags) {
      max = Math.max(max, lag);
    }
    return max;
  }

  /** The greatest lag of the whole run. */
  synchronized double worstLag() {
    return worst;
  }

  void end() {
    ended = true;
  }
}
