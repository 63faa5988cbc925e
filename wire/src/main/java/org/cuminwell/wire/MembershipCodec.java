package org.cuminwell.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.LoadReport;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.membership.MembershipMessage.Item;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.wire.generated.MembershipMessage.AllRenewed;
import org.cuminwell.wire.generated.MembershipMessage.Announced;
import org.cuminwell.wire.generated.MembershipMessage.AskAll;
import org.cuminwell.wire.generated.MembershipMessage.Heard;
import org.cuminwell.wire.generated.MembershipMessage.Left;
import org.cuminwell.wire.generated.MembershipMessage.Load;
import org.cuminwell.wire.generated.MembershipMessage.Quiet;
import org.cuminwell.wire.generated.MembershipMessage.Renewed;

/**
 * Maps messages about endpoints to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class MembershipCodec {

  private static final Duration ALMOST_A_MILLISECOND = Duration.ofNanos(999_999);

  private MembershipCodec() {}

  static org.cuminwell.wire.generated.MembershipMessage toProto(MembershipMessage from) {
    var to = org.cuminwell.wire.generated.MembershipMessage.newBuilder();
    switch (from) {
      case MembershipMessage.FullUpdateRequest ask -> to.setAskAll(AskAll.getDefaultInstance());
      case MembershipMessage.Update update -> to.setHeard(toProto(update));
    }
    return to.build();
  }

  static MembershipMessage fromProto(org.cuminwell.wire.generated.MembershipMessage from) {
    return switch (from.getKindCase()) {
      case ASK_ALL -> new MembershipMessage.FullUpdateRequest();
      case HEARD -> fromProto(from.getHeard());
      case KIND_NOT_SET -> throw new IllegalArgumentException("membership message without a kind");
    };
  }

  private static Heard toProto(MembershipMessage.Update from) {
    var to = Heard.newBuilder().setStart(from.start()).setFrom(from.from()).setTo(from.to());
    List<Item.Paused> pauses = new ArrayList<>();
    for (Item item : from.items()) {
      switch (item) {
        case Item.Announced i -> to.addAnnounced(toProto(i));
        case Item.Renewed i -> to.addRenewed(toProto(i));
        case Item.AllRenewed i ->
            to.setAllRenewed(AllRenewed.newBuilder().setAgeMillis(roundedUp(i.age())));
        case Item.Stale i ->
            to.addQuiet(
                Quiet.newBuilder()
                    .setEndpoint(i.endpoint().value())
                    .setIncarnation(i.incarnation()));
        case Item.Paused i -> pauses.add(i);
        case Item.Leaving i ->
            to.addLeft(
                Left.newBuilder()
                    .setEndpoint(i.endpoint().value())
                    .setIncarnation(i.incarnation()));
      }
    }
    to.setUnknownFields(LoadDigestCodec.toFields(from.loads(), pauses));
    return to.build();
  }

  private static MembershipMessage.Update fromProto(Heard from) {
    List<Item> items = new ArrayList<>();
    from.getAnnouncedList().forEach(item -> items.add(fromProto(item)));
    from.getRenewedList().forEach(item -> items.add(fromProto(item)));
    from.getQuietList()
        .forEach(
            item ->
                items.add(
                    new Item.Stale(new EndpointId(item.getEndpoint()), item.getIncarnation())));
    if (from.hasAllRenewed()) {
      items.add(new Item.AllRenewed(Duration.ofMillis(from.getAllRenewed().getAgeMillis())));
    }
    items.addAll(LoadDigestCodec.pausesFrom(from.getUnknownFields()));
    from.getLeftList()
        .forEach(
            item ->
                items.add(
                    new Item.Leaving(new EndpointId(item.getEndpoint()), item.getIncarnation())));
    return new MembershipMessage.Update(
        from.getStart(),
        from.getFrom(),
        from.getTo(),
        items,
        LoadDigestCodec.fromFields(from.getUnknownFields()));
  }

  /** Returns whole milliseconds, so that no age seems less than it is. */
  private static long roundedUp(Duration age) {
    return age.plus(ALMOST_A_MILLISECOND).toMillis();
  }

  private static Announced toProto(Item.Announced from) {
    Announcement a = from.announcement();
    var to =
        Announced.newBuilder()
            .setEndpoint(a.endpoint().value())
            .setIncarnation(a.incarnation())
            .setPlace(DirectoryCodec.toProto(a.place()))
            .setAddress(DirectoryCodec.toProto(a.address()))
            .addAllService(new TreeSet<>(a.services()))
            .setVersion(a.version().value())
            .setCapacity(a.capacity())
            .setTimeToLiveMillis(a.timeToLive().toMillis())
            .setChecksFencing(a.checksFencing())
            .setRemainingMillis(from.remaining().toMillis())
            .setSequence(a.sequence())
            .setColdMillis(a.slowStartRemaining().toMillis());
    from.load().ifPresent(load -> to.setLoad(toProto(load)));
    return to.build();
  }

  private static Item.Announced fromProto(Announced from) {
    EndpointId endpoint = new EndpointId(from.getEndpoint());
    Announcement announcement =
        new Announcement(
            endpoint,
            from.getIncarnation(),
            DirectoryCodec.fromProto(from.getPlace()),
            DirectoryCodec.fromProto(from.getAddress()),
            Set.copyOf(from.getServiceList()),
            new VersionId(from.getVersion()),
            from.getCapacity(),
            Duration.ofMillis(from.getTimeToLiveMillis()),
            from.getChecksFencing(),
            from.getSequence(),
            Duration.ofMillis(from.getColdMillis()));
    return new Item.Announced(
        announcement,
        Duration.ofMillis(from.getRemainingMillis()),
        load(endpoint, from.getIncarnation(), from.hasLoad(), from.getLoad()));
  }

  private static Renewed toProto(Item.Renewed from) {
    var to =
        Renewed.newBuilder()
            .setEndpoint(from.endpoint().value())
            .setIncarnation(from.incarnation())
            .setRemainingMillis(from.remaining().toMillis());
    from.load().ifPresent(load -> to.setLoad(toProto(load)));
    return to.build();
  }

  private static Item.Renewed fromProto(Renewed from) {
    EndpointId endpoint = new EndpointId(from.getEndpoint());
    return new Item.Renewed(
        endpoint,
        from.getIncarnation(),
        Duration.ofMillis(from.getRemainingMillis()),
        load(endpoint, from.getIncarnation(), from.hasLoad(), from.getLoad()));
  }

  private static Load toProto(LoadReport from) {
    return Load.newBuilder()
        .setSequence(from.reportedSequence())
        .setRunning(from.running())
        .setQueued(from.queued())
        .build();
  }

  private static Optional<LoadReport> load(
      EndpointId endpoint, long incarnation, boolean present, Load from) {
    return present
        ? Optional.of(
            new LoadReport(
                endpoint, incarnation, from.getSequence(), from.getRunning(), from.getQueued()))
        : Optional.empty();
  }
}
