package tillerlink.faultinjection.soak;

/**
 * The clock of a run, in milliseconds since its start. It also measures the scheduling lag of the
 * harness itself, so that delays of the harness are not counted against a gateway.
 */
final class SoakClock {
  private static final long INTERVAL_MS = 10;
  private static final int SAMPLES = 512;

  private final long startNanos = System.nanoTime();
  private final double[] lags = new double[SAMPLES];
  private volatile boolean ended;
  private double worst;
  private int measurements;

  SoakClock() {
    Thread thread = new Thread(this::measure, "soak-clock");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the time since the start of the run, in milliseconds. */
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
    lags[measurements++ % SAMPLES] = lag;
    worst = Math.max(worst, lag);
  }

  /** Returns the greatest of the last {@value #SAMPLES} lags, about 5 s, in milliseconds. */
  synchronized double lag() {
    double max = 0;
    for (double lag : lags) {
      max = Math.max(max, lag);
    }
    return max;
  }

  /** Returns the greatest lag of the whole run, in milliseconds. */
  synchronized double worstLag() {
    return worst;
  }

  void end() {
    ended = true;
  }
}
