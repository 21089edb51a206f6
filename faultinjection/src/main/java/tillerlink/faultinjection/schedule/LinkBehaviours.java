package tillerlink.faultinjection.schedule;

import java.util.Collection;
import java.util.List;
import tillerlink.faultinjection.network.FaultyNetwork;
import tillerlink.faultinjection.network.LinkBehaviour;

/** The behaviour of a link, combined from the active faults. */
final class LinkBehaviours {
  private static final int TICKS_PER_MS = 10;

  private final List<String> gateways;
  private final String from;
  private final String to;
  private boolean cut;
  private double lostShare;
  private double muddledShare;
  private long maxDelay;
  private int maxBytes = Integer.MAX_VALUE;
  private long rate;

  private LinkBehaviours(List<String> gateways, String from, String to) {
    this.gateways = gateways;
    this.from = from;
    this.to = to;
  }

  /** Sets the behaviour of each link between the gateways according to the active faults. */
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
    if (isForward(step)) {
      addForward(step);
    }
    if (affectsEndpoint(step)) {
      addToBothDirections(step);
    }
    if (step.kind() == Step.Kind.PARTED) {
      cut |= isBefore(from, step.who()) != isBefore(to, step.who());
    } else if (step.kind() == Step.Kind.LATE && step.who().equals(to)) {
      maxDelay = Math.max(maxDelay, (long) (step.amount() * TICKS_PER_MS));
    }
  }

  /** Adds a fault that applies to this link alone. */
  private void addForward(Step step) {
    switch (step.kind()) {
      case CUT_ONE_WAY -> cut = true;
      case SLOW -> rate = (long) step.amount();
      case SMALL -> maxBytes = Math.min(maxBytes, (int) step.amount());
      default -> {}
    }
  }

  /** Adds a fault that applies to all links of a gateway, or to a pair of gateways both ways. */
  private void addToBothDirections(Step step) {
    switch (step.kind()) {
      case CUT -> cut |= isForward(step) || isReverse(step);
      case LOSSY -> lostShare = Math.max(lostShare, step.amount());
      case MUDDLED -> muddledShare = Math.max(muddledShare, step.amount());
      default -> {}
    }
  }

  private boolean isForward(Step step) {
    return step.who().equals(from) && step.other().equals(to);
  }

  private boolean isReverse(Step step) {
    return step.who().equals(to) && step.other().equals(from);
  }

  private boolean affectsEndpoint(Step step) {
    return step.who().equals(from) || step.who().equals(to);
  }

  private boolean isBefore(String gateway, String other) {
    return gateways.indexOf(gateway) < gateways.indexOf(other);
  }

  private LinkBehaviour combined() {
    return new LinkBehaviour(
        cut, lostShare, muddledShare, muddledShare, 0, maxDelay, maxBytes, rate);
  }
}
