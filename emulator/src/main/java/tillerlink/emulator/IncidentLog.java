package tillerlink.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tillerlink.fleet.Fleet;

/** A log of the faults in an emulated cluster, with their times since the start of its clock. */
final class IncidentLog {
  private final List<String> lines = new ArrayList<>();
  private long clockStart;

  /**
   * Creates an empty log.
   *
   * @param clockStart the time at which its clock starts, in tenths of a millisecond
   */
  IncidentLog(long clockStart) {
    this.clockStart = clockStart;
  }

  /** Sets the time from which incidents are timed, in tenths of a millisecond. */
  void startClock(long at) {
    clockStart = at;
  }

  /** Returns the time from which incidents are timed, in tenths of a millisecond. */
  long clockStart() {
    return clockStart;
  }

  /**
   * Adds a line.
   *
   * @param now the current time, in tenths of a millisecond
   * @param description what happened
   */
  void add(long now, String description) {
    double seconds = (now - clockStart) / (double) Fleet.SECOND;
    lines.add(String.format(Locale.ROOT, "%8.1f s  %s", seconds, description));
  }

  /** Returns the lines so far, the oldest first. */
  List<String> lines() {
    return lines;
  }
}
