package tillerlink.peering.component;

/** Makes a part when the process starts. */
public interface ComponentFactory {
  /**
   * What its messages bear and its share of the disk is named by: see {@link
   * HostedComponent#number}.
   */
  int number();

  /** Its share of the disk; letters only. */
  String name();

  /**
   * @throws IllegalArgumentException in words for the operator, if it can't be as it is told to
   */
  HostedComponent attach(ComponentContext ground);
}
