package tillerlink.port;

import tillerlink.model.Attempt;
import tillerlink.model.Request;

/** What the module wants done. Times are tenths of a millisecond, grants megabytes. */
public interface DispatchActions {
  /**
   * Priority (at once, also for hops that are out) and memory grant (from the next hop on; 0: the
   * engine's own).
   */
  void terms(Request submission, int rank, long grant);

  /** Sends a hop, with no time-out but the client's. */
  void send(Attempt hop);

  void callOff(Attempt hop);

  /**
   * @param comeBack how long the client should stay away; 0 means no advice
   */
  void turnBack(Request submission, long comeBack);

  void breakOff(Request submission);

  void wake(long at);

  /** Asks to be told of changes to the engine list from now on. */
  void follow();

  void log(String line);
}
