#include "admission/CreditMessages.h"

#include <QCborArray>
#include <QCborValue>

namespace cranberry {

namespace {

constexpr int MaxTextLength = 256;
constexpr int MaxExcludedTargets = 16;

/// Keys of the encoding; a number must not be reused for another field.
enum Key : qint64 {
    ExchangeId = 1,
    Kind = 2,
    TimeLeft = 3,
    Request = 4,
    Attempt = 5,
    Service = 6,
    Model = 7,
    Workspace = 8,
    PromptTokens = 9,
    MaxTokens = 10,
    PrefixHash = 11,
    DataCentre = 12,
    Excluded = 13,
    Priority = 14,
    Outcome = 15,
    Target = 16,
    ExpectedWait = 17,
    ErrorName = 18,
    ErrorDetail = 19,
    RetryAfter = 20,
};

/// Reads fields and records whether all of them were valid.
class MessageReader
{
public:
    explicit MessageReader(const QCborMap &body)
        : m_body(body)
    {
    }

    qint64 number(Key key, qint64 min, qint64 max)
    {
        const QCborValue value = m_body.value(qint64(key));
        const qint64 read = value.toInteger(min);
        m_valid = m_valid && value.isInteger() && read >= min && read <= max;
        return read;
    }
    QString text(Key key)
    {
        const QCborValue value = m_body.value(qint64(key));
        m_valid = m_valid && value.isString() && value.toString().size() <= MaxTextLength;
        return value.toString();
    }
    /// Reads a text that is omitted when empty.
    QString optionalText(Key key) { return m_body.contains(qint64(key)) ? text(key) : QString(); }
    QSet<TargetId> targets(Key key)
    {
        const QCborArray array = m_body.value(qint64(key)).toArray();
        m_valid = m_valid && array.size() <= MaxExcludedTargets;
        QSet<TargetId> read;
        for (const auto &value : array)
            read.insert(TargetId(value.toString()));
        return read;
    }
    bool valid() const { return m_valid; }

private:
    const QCborMap &m_body;
    bool m_valid = true;
};

constexpr qint64 MaxInteger = std::numeric_limits<qint64>::max();
constexpr qint64 MaxTokenCount = 1LL << 40;
constexpr qint64 MaxPriority = 1'000'000;
constexpr qint64 MaxMilliseconds = 1LL << 40;

void putText(QCborMap &body, Key key, const QString &text)
{
    if (!text.isEmpty())
        body.insert(qint64(key), text);
}

} // namespace

QCborMap toCbor(const CreditRequest &request)
{
    const PlacementRequest &placement = request.request.placement;
    QCborMap body;
    body.insert(qint64(ExchangeId), qint64(request.exchangeId));
    body.insert(qint64(Kind), qint64(request.kind));
    body.insert(qint64(Request), placement.request.text());
    if (request.kind == CreditRequestKind::Done)
        return body;
    body.insert(qint64(TimeLeft), qint64(request.timeLeft.count()));
    body.insert(qint64(Service), placement.service.text());
    putText(body, Model, placement.model.text());
    putText(body, Workspace, placement.workspace.text());
    putText(body, DataCentre, placement.dataCentre.text());
    body.insert(qint64(PromptTokens), placement.promptTokens.value());
    body.insert(qint64(MaxTokens), placement.maxTokens.value());
    body.insert(qint64(PrefixHash), qint64(placement.prefixHash));
    body.insert(qint64(Priority), request.request.priority);
    QCborArray excluded;
    for (const TargetId &target : placement.excluded) {
        if (excluded.size() < MaxExcludedTargets)
            excluded.append(target.text());
    }
    if (!excluded.isEmpty())
        body.insert(qint64(Excluded), excluded);
    return body;
}

std::optional<CreditRequest> creditRequestFromCbor(const QCborMap &body)
{
    MessageReader reader(body);
    CreditRequest request;
    PlacementRequest &placement = request.request.placement;
    request.exchangeId = quint64(reader.number(ExchangeId, 0, MaxInteger));
    request.kind = CreditRequestKind(
        reader.number(Kind, qint64(CreditRequestKind::Try), qint64(CreditRequestKind::Done)));
    placement.request = RequestId(reader.text(Request));
    request.request.remote = true;
    if (request.kind == CreditRequestKind::Done)
        return reader.valid() ? std::optional(request) : std::nullopt;
    request.timeLeft = Milliseconds(reader.number(TimeLeft, 0, MaxMilliseconds));
    placement.service = ServiceId(reader.text(Service));
    placement.model = ModelId(reader.optionalText(Model));
    placement.workspace = WorkspaceId(reader.optionalText(Workspace));
    placement.dataCentre = DataCentreId(reader.optionalText(DataCentre));
    placement.promptTokens = Tokens(reader.number(PromptTokens, 0, MaxTokenCount));
    placement.maxTokens = Tokens(reader.number(MaxTokens, 0, MaxTokenCount));
    placement.prefixHash = quint64(reader.number(PrefixHash, -MaxInteger - 1, MaxInteger));
    placement.excluded = reader.targets(Excluded);
    request.request.priority = int(reader.number(Priority, -MaxPriority, MaxPriority));
    if (!reader.valid())
        return std::nullopt;
    return request;
}

QCborMap toCbor(const CreditAnswer &answer)
{
    QCborMap body;
    body.insert(qint64(ExchangeId), qint64(answer.exchangeId));
    body.insert(qint64(Outcome), qint64(answer.outcome));
    putText(body, Target, answer.target.text());
    if (answer.outcome == CreditOutcome::Full)
        body.insert(qint64(ExpectedWait), qint64(answer.expectedWait.count()));
    if (answer.outcome != CreditOutcome::Refused)
        return body;
    body.insert(qint64(ErrorName), QString::fromLatin1(errorAnswer(answer.error.kind).name));
    putText(body, ErrorDetail, answer.error.detail.left(MaxTextLength));
    if (answer.error.retryAfterSeconds)
        body.insert(qint64(RetryAfter), *answer.error.retryAfterSeconds);
    return body;
}

std::optional<CreditAnswer> creditAnswerFromCbor(const QCborMap &body)
{
    MessageReader reader(body);
    CreditAnswer answer;
    answer.exchangeId = quint64(reader.number(ExchangeId, 0, MaxInteger));
    answer.outcome = CreditOutcome(
        reader.number(Outcome, qint64(CreditOutcome::Granted), qint64(CreditOutcome::NotServed)));
    if (answer.outcome == CreditOutcome::Granted)
        answer.target = TargetId(reader.text(Target));
    if (answer.outcome == CreditOutcome::Full)
        answer.expectedWait = Milliseconds(reader.number(ExpectedWait, 0, MaxMilliseconds));
    if (answer.outcome == CreditOutcome::Refused) {
        const std::optional<ErrorKind> kind = errorKindFromName(reader.text(ErrorName).toLatin1());
        answer.error.kind = kind.value_or(ErrorKind::Internal);
        answer.error.detail = reader.optionalText(ErrorDetail);
        if (body.contains(qint64(RetryAfter)))
            answer.error.retryAfterSeconds = int(reader.number(RetryAfter, 0, MaxPriority));
    }
    if (!reader.valid())
        return std::nullopt;
    return answer;
}

} // namespace cranberry
