package tillerlink.faultinjection.audit;

/** What did not hold, in words. */
public record Violation(Rule rule, String words) {
  @Override
  public String toString() {
    return rule + ": " + words;
  }
}
