package tillerlink.port;

import tillerlink.model.Hop;
import tillerlink.model.Submission;

/** What the module wants done. Times are tenths of a millisecond, grants megabytes. */
public interface Orders {
  /**
   * Priority (at once, also for hops that are out) and memory grant (from the next hop on; 0: the
   * engine's own).
   */
  void terms(Submission submission, int rank, long grant);

  /** Sends a hop, with no time-out but the client's. */
  void send(Hop hop);

  void callOff(Hop hop);

  /**
   * @param comeBack how long the client should stay away; 0 means no advice
   */
  void turnBack(Submission submission, long comeBack);

  void breakOff(Submission submission);

  void wake(long at);

  /** Asks to be told of changes to the engine list from now on. */
  void follow();

  void log(String line);
}
