package tillerlink.channels.epoch;

import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.messages.channels.ChannelsMessage.Answer;

/**
 * Whether a process that has just started may vote: it asks the others first what it may have
 * agreed to, as its disk may be lost, or an old copy, and can't tell so itself. Of any majority it
 * was ever part of there is one among those that answered: more than half of the others do.
 */
public final class RejoinCheck {
  private final String self;
  private final List<String> counted;
  private final TreeMap<String, Answer> answers = new TreeMap<>();
  private boolean done;

  /**
   * @param counted those that the operator counts in: who is not among them any more is not waited
   *     for
   */
  public RejoinCheck(String self, List<String> counted) {
    this.self = self;
    this.counted = counted;
  }

  public void answered(String from, Answer answer) {
    answers.put(from, answer);
  }

  public boolean isDone() {
    return done;
  }

  /** Those whose answers are looked for. */
  public TreeSet<String> others(List<String> voters) {
    TreeSet<String> others = new TreeSet<>(voters);
    if (others.stream().anyMatch(other -> !other.equals(self) && counted.contains(other))) {
      others.retainAll(counted);
    }
    others.remove(self);
    return others;
  }

  /**
   * @param applied up to where this process holds everything; while anyone told of more, it is not
   *     enough: a voter that counted as recovered before would leave what was on its disk on too
   *     few others
   * @return true the first time that enough have answered
   */
  public boolean enough(List<String> voters, long applied) {
    if (done) {
      return false;
    }
    int know = 0;
    int answered = 0;
    int nothing = 0;
    TreeSet<String> others = others(voters);
    boolean behind = false;
    for (String other : others) {
      Answer answer = answers.get(other);
      if (answer != null) {
        answered++;
        behind |= answer.decided() > applied;
        know += answer.knows() ? 1 : 0;
        nothing += answer.knows() ? 0 : 1;
      }
    }
    boolean founding = answered == others.size() && (nothing == answered || applied == 0);
    done = !behind && (know > others.size() / 2 || others.isEmpty() || founding);
    return done;
  }

  public Iterable<Answer> answers() {
    return answers.values();
  }
}
