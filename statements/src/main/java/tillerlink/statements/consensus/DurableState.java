package tillerlink.statements.consensus;

import java.util.ArrayDeque;
import java.util.NavigableMap;
import tillerlink.cluster.KeyValueStore;

/**
 * The durable table, with what waits for it: nothing that a voter promises is said before it is
 * kept.
 */
final class DurableState {
  private record Waiting(long write, Runnable what) {}

  private final KeyValueStore keep;
  private final boolean early;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private long handed;
  private long done;
  private boolean failed;

  /**
   * @param early a planted fault: nothing waits
   */
  DurableState(KeyValueStore keep, boolean early) {
    this.keep = keep;
    this.early = early;
  }

  NavigableMap<String, byte[]> found() {
    return keep.initialEntries();
  }

  /**
   * @return the number of this write
   */
  long write(String name, byte[] value) {
    long write = ++handed;
    if (!failed && !keep.set(name, value, () -> kept(write))) {
      failed = true;
    }
    if (early) {
      done = handed;
    }
    return write;
  }

  private void kept(long write) {
    if (failed) {
      return;
    }
    done = Math.max(done, write);
    while (!waiting.isEmpty() && waiting.peek().write <= done) {
      waiting.poll().what.run();
    }
  }

  /** Runs it once all that was written so far is kept. */
  void then(Runnable what) {
    if (failed) {
      return;
    }
    if (done >= handed) {
      what.run();
    } else {
      waiting.add(new Waiting(handed, what));
    }
  }

  long done() {
    return done;
  }

  /** The disk refused a write: this voter says nothing more that others would rely on. */
  boolean failed() {
    return failed;
  }

  /** There may be room again: what follows is all that has to be kept, once more. */
  void again() {
    failed = false;
    waiting.clear();
  }
}
