package tillerlink.faultinjection.schedule;

import java.util.Collection;
import java.util.List;
import tillerlink.faultinjection.network.FaultyNetwork;
import tillerlink.faultinjection.network.LinkBehaviour;

/** Combines the active faults into the behaviour of each link. */
final class LinkBehaviours {
  private static final int TICKS_PER_MS = 10;

  private final List<String> gateways;
  private final String from;
  private final String to;
  private boolean cut;
  private double lost;
  private double muddled;
  private long maxDelay;
  private int maxBytes = Integer.MAX_VALUE;
  private long rate;

  private LinkBehaviours(List<String> gateways, String from, String to) {
    this.gateways = gateways;
    this.from = from;
    this.to = to;
  }

  static void apply(FaultyNetwork network, List<String> gateways, Collection<Step> active) {
    for (String from : gateways) {
      for (String to : gateways) {
        if (!from.equals(to)) {
          LinkBehaviours link = new LinkBehaviours(gateways, from, to);
          active.forEach(link::add);
          network.set(from, to, link.combined());
        }
      }
    }
  }

  private void add(Step step) {
    if (leads(step)) {
      addForward(step);
    }
    if (touches(step)) {
      addTouching(step);
    }
    if (step.kind() == Step.Kind.PARTED) {
      cut |= isBefore(from, step.who()) != isBefore(to, step.who());
    } else if (step.kind() == Step.Kind.LATE && step.who().equals(to)) {
      maxDelay = Math.max(maxDelay, (long) (step.amount() * TICKS_PER_MS));
    }
  }

  /** Faults of this link alone. */
  private void addForward(Step step) {
    switch (step.kind()) {
      case CUT_ONE_WAY -> cut = true;
      case SLOW -> rate = (long) step.amount();
      case SMALL -> maxBytes = Math.min(maxBytes, (int) step.amount());
      default -> {}
    }
  }

  /** Faults of all links of a gateway, and the cut in both directions. */
  private void addTouching(Step step) {
    switch (step.kind()) {
      case CUT -> cut |= leads(step) || leadsBack(step);
      case LOSSY -> lost = Math.max(lost, step.amount());
      case MUDDLED -> muddled = Math.max(muddled, step.amount());
      default -> {}
    }
  }

  private boolean leads(Step step) {
    return step.who().equals(from) && step.other().equals(to);
  }

  private boolean leadsBack(Step step) {
    return step.who().equals(to) && step.other().equals(from);
  }

  private boolean touches(Step step) {
    return step.who().equals(from) || step.who().equals(to);
  }

  private boolean isBefore(String gateway, String other) {
    return gateways.indexOf(gateway) < gateways.indexOf(other);
  }

  private LinkBehaviour combined() {
    return new LinkBehaviour(cut, lost, muddled, muddled, 0, maxDelay, maxBytes, rate);
  }
}
