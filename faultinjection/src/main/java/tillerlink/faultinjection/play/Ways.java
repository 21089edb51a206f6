package tillerlink.faultinjection.play;

import java.util.Collection;
import java.util.List;
import tillerlink.faultinjection.fabric.Fabric;
import tillerlink.faultinjection.fabric.Fault;

/** What several faults at once make of each ordered pair's way. */
final class Ways {
  private Ways() {}

  static void set(Fabric fabric, List<String> names, Collection<Step> active) {
    for (String from : names) {
      for (String to : names) {
        if (!from.equals(to)) {
          fabric.set(from, to, of(names, from, to, active));
        }
      }
    }
  }

  private static Fault of(List<String> names, String from, String to, Collection<Step> active) {
    boolean cut = false;
    double lost = 0;
    double muddled = 0;
    long most = 0;
    int bytes = Integer.MAX_VALUE;
    long rate = 0;
    for (Step step : active) {
      boolean way = step.who().equals(from) && step.other().equals(to);
      boolean back = step.who().equals(to) && step.other().equals(from);
      boolean touches = step.who().equals(from) || step.who().equals(to);
      switch (step.kind()) {
        case CUT_ONE_WAY -> cut |= way;
        case CUT -> cut |= way || back;
        case PARTED ->
            cut |=
                names.indexOf(from) < names.indexOf(step.who())
                    != names.indexOf(to) < names.indexOf(step.who());
        case LOSSY -> lost = touches ? Math.max(lost, step.amount()) : lost;
        case MUDDLED -> muddled = touches ? Math.max(muddled, step.amount()) : muddled;
        case LATE ->
            most = step.who().equals(to) ? Math.max(most, (long) (step.amount() * 10)) : most;
        case SLOW -> rate = way ? (long) step.amount() : rate;
        case SMALL -> bytes = way ? Math.min(bytes, (int) step.amount()) : bytes;
        default -> {}
      }
    }
    return new Fault(cut, lost, muddled, muddled, 0, most, bytes, rate);
  }
}
