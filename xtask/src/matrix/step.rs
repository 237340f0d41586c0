//! Steps at which a fault is injected.

/// The kind of entity that goes through the steps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Subject {
    Request,
    Order,
    Publication,
    Host,
}

/// A step of a request, an order, a publication or an entry host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum Step {
    RequestAccept,
    RequestQueue,
    RequestChoose,
    RequestConnect,
    RequestSend,
    RequestRun,
    RequestAnswer,
    RequestReply,
    OrderSession,
    OrderSubmit,
    OrderAppend,
    OrderAppended,
    OrderReadBack,
    OrderPermit,
    OrderRun,
    OrderAnswer,
    OrderRepeat,
    PublicationEdit,
    PublicationAppend,
    PublicationAppended,
    PublicationRead,
    PublicationInForce,
    HostStart,
    HostReady,
    HostServe,
    HostLeave,
    HostStop,
}

/// All steps with their subject and name.
pub(super) const STEPS: [(Step, Subject, &str); 27] = [
    (Step::RequestAccept, Subject::Request, "request/accept"),
    (Step::RequestQueue, Subject::Request, "request/queue"),
    (Step::RequestChoose, Subject::Request, "request/choose"),
    (Step::RequestConnect, Subject::Request, "request/connect"),
    (Step::RequestSend, Subject::Request, "request/send"),
    (Step::RequestRun, Subject::Request, "request/run"),
    (Step::RequestAnswer, Subject::Request, "request/answer"),
    (Step::RequestReply, Subject::Request, "request/reply"),
    (Step::OrderSession, Subject::Order, "order/session"),
    (Step::OrderSubmit, Subject::Order, "order/submit"),
    (Step::OrderAppend, Subject::Order, "order/append"),
    (Step::OrderAppended, Subject::Order, "order/appended"),
    (Step::OrderReadBack, Subject::Order, "order/read-back"),
    (Step::OrderPermit, Subject::Order, "order/permit"),
    (Step::OrderRun, Subject::Order, "order/run"),
    (Step::OrderAnswer, Subject::Order, "order/answer"),
    (Step::OrderRepeat, Subject::Order, "order/repeat"),
    (Step::PublicationEdit, Subject::Publication, "publication/edit"),
    (Step::PublicationAppend, Subject::Publication, "publication/append"),
    (Step::PublicationAppended, Subject::Publication, "publication/appended"),
    (Step::PublicationRead, Subject::Publication, "publication/read"),
    (Step::PublicationInForce, Subject::Publication, "publication/in-force"),
    (Step::HostStart, Subject::Host, "host/start"),
    (Step::HostReady, Subject::Host, "host/ready"),
    (Step::HostServe, Subject::Host, "host/serve"),
    (Step::HostLeave, Subject::Host, "host/leave"),
    (Step::HostStop, Subject::Host, "host/stop"),
];

impl Step {
    pub(super) fn subject(self) -> Subject {
        STEPS.iter().find(|(it, ..)| *it == self).map_or(Subject::Request, |(_, it, _)| *it)
    }

    pub(super) fn name(self) -> &'static str {
        STEPS.iter().find(|(it, ..)| *it == self).map_or("", |(.., name)| name)
    }
}
