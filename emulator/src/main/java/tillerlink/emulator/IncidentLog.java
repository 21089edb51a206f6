package tillerlink.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tillerlink.fleet.Fleet;

/** What happened in an emulated cluster, a line each, with the time since the clock's start. */
final class IncidentLog {
  private final List<String> lines = new ArrayList<>();
  private long clockStart;

  IncidentLog(long clockStart) {
    this.clockStart = clockStart;
  }

  /** Sets the moment from which times count, in tenths of a millisecond. */
  void startClock(long at) {
    clockStart = at;
  }

  long clockStart() {
    return clockStart;
  }

  void add(long now, String what) {
    double seconds = (now - clockStart) / (double) Fleet.SECOND;
    lines.add(String.format(Locale.ROOT, "%8.1f s  %s", seconds, what));
  }

  List<String> lines() {
    return lines;
  }
}
