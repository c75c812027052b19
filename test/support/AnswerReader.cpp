#include "support/AnswerReader.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace cranberry::test {

void AnswerReader::feed(const QByteArray &data, MonotonicTime now)
{
    m_pending += data;
    qsizetype start = 0;
    qsizetype end = m_pending.indexOf("\n\n");
    while (end >= 0) {
        readEvent(m_pending.mid(start, end - start), now);
        start = end + 2;
        end = m_pending.indexOf("\n\n", start);
    }
    m_pending.remove(0, start);
}

void AnswerReader::readEvent(const QByteArray &event, MonotonicTime now)
{
    int id = -1;
    QByteArray name;
    QByteArray data;
    const QList<QByteArray> lines = event.split('\n');
    for (const QByteArray &line : lines) {
        const qsizetype colon = line.indexOf(':');
        const QByteArray value = line.mid(colon + 1).trimmed();
        if (line.startsWith("id:"))
            id = value.toInt();
        else if (line.startsWith("event:"))
            name = value;
        else if (line.startsWith("data:"))
            data += value;
    }
    if (name == "error")
        m_error = QJsonDocument::fromJson(data).object();
    else if (data == "[DONE]")
        m_done = true;
    else if (!data.isEmpty())
        readData(id, data, now);
}

void AnswerReader::readData(int id, const QByteArray &data, MonotonicTime now)
{
    const QJsonObject object = QJsonDocument::fromJson(data).object();
    const QJsonArray choices = object.value(QLatin1String("choices")).toArray();
    if (choices.isEmpty()) {
        ++m_malformed;
        return;
    }
    const QJsonObject choice = choices.first().toObject();
    QString text = choice.value(QLatin1String("text")).toString();
    if (choice.contains(QLatin1String("delta"))) {
        text = choice.value(QLatin1String("delta"))
                   .toObject()
                   .value(QLatin1String("content"))
                   .toString();
    }
    if (!text.isEmpty())
        m_tokens.append({id, text.toUtf8(), now});
    const QString reason = choice.value(QLatin1String("finish_reason")).toString();
    if (!reason.isEmpty())
        m_finishReason = reason;
}

QList<QByteArray> AnswerReader::texts() const
{
    QList<QByteArray> texts;
    texts.reserve(m_tokens.size());
    for (const ReceivedToken &token : m_tokens)
        texts.append(token.text);
    return texts;
}

bool AnswerReader::idsAreConsecutive() const
{
    for (int i = 0; i < m_tokens.size(); ++i) {
        if (m_tokens.at(i).id != i)
            return false;
    }
    return true;
}

} // namespace cranberry::test
