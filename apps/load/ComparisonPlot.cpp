#include "load/ComparisonPlot.h"

#include <QXmlStreamWriter>

#include <algorithm>
#include <cmath>

namespace cranberry::load {

namespace {

constexpr double Width = 960;
constexpr double Height = 420;
constexpr double PlotLeft = 70;
constexpr double PlotRight = 560;
constexpr double PlotTop = 50;
constexpr double PlotBottom = 370;
constexpr double BarsLeft = 640;
constexpr double BarsRight = 930;
constexpr double LegendLeft = 70;
constexpr double LegendStep = 130;
constexpr double LegendTop = 28;
constexpr double LegendMark = 10;
constexpr double MinMs = 1;
constexpr double MaxMs = 10'000;
constexpr double MinShare = 1e-5;
const char *const Colours[] = {"#8a8a8a", "#d08a2c", "#3a7fb5", "#b03a5b", "#4f9a4f"};

QString number(double value)
{
    return QString::number(value, 'f', 1);
}

double xOf(double milliseconds)
{
    const double share =
        std::log10(std::clamp(milliseconds, MinMs, MaxMs) / MinMs) / std::log10(MaxMs / MinMs);
    return PlotLeft + share * (PlotRight - PlotLeft);
}

double yOf(double shareAbove)
{
    const double depth = std::log10(std::clamp(shareAbove, MinShare, 1.0)) / std::log10(MinShare);
    return PlotTop + depth * (PlotBottom - PlotTop);
}

void writeText(QXmlStreamWriter &xml, double x, double y, const QString &text,
               const char *anchor = "start")
{
    xml.writeStartElement(QStringLiteral("text"));
    xml.writeAttribute(QStringLiteral("x"), number(x));
    xml.writeAttribute(QStringLiteral("y"), number(y));
    xml.writeAttribute(QStringLiteral("font-size"), QStringLiteral("12"));
    xml.writeAttribute(QStringLiteral("font-family"), QStringLiteral("sans-serif"));
    xml.writeAttribute(QStringLiteral("text-anchor"), QString::fromLatin1(anchor));
    xml.writeCharacters(text);
    xml.writeEndElement();
}

void writeLine(QXmlStreamWriter &xml, double x1, double y1, double x2, double y2)
{
    xml.writeEmptyElement(QStringLiteral("line"));
    xml.writeAttribute(QStringLiteral("x1"), number(x1));
    xml.writeAttribute(QStringLiteral("y1"), number(y1));
    xml.writeAttribute(QStringLiteral("x2"), number(x2));
    xml.writeAttribute(QStringLiteral("y2"), number(y2));
    xml.writeAttribute(QStringLiteral("stroke"), QStringLiteral("#dddddd"));
}

void writeGrid(QXmlStreamWriter &xml)
{
    for (double ms = MinMs; ms <= MaxMs; ms *= 10) {
        writeLine(xml, xOf(ms), PlotTop, xOf(ms), PlotBottom);
        writeText(xml, xOf(ms), PlotBottom + 18, QStringLiteral("%1 ms").arg(ms), "middle");
    }
    for (double share = 1; share >= MinShare * 0.99; share /= 10) {
        writeLine(xml, PlotLeft, yOf(share), PlotRight, yOf(share));
        writeText(xml, PlotLeft - 6, yOf(share) + 4, QString::number(share), "end");
    }
    writeText(xml, (PlotLeft + PlotRight) / 2, PlotBottom + 38,
              QStringLiteral("gap between tokens; share of gaps that are longer"), "middle");
}

void writeTail(QXmlStreamWriter &xml, const TimeHistogram &times, const char *colour)
{
    QString points;
    const QList<TimeHistogram::Point> tail = times.tail();
    for (const TimeHistogram::Point &point : tail)
        points += number(xOf(point.milliseconds)) + ',' + number(yOf(point.shareAbove)) + ' ';
    xml.writeEmptyElement(QStringLiteral("polyline"));
    xml.writeAttribute(QStringLiteral("points"), points.trimmed());
    xml.writeAttribute(QStringLiteral("fill"), QStringLiteral("none"));
    xml.writeAttribute(QStringLiteral("stroke"), QString::fromLatin1(colour));
    xml.writeAttribute(QStringLiteral("stroke-width"), QStringLiteral("2"));
}

void writeBar(QXmlStreamWriter &xml, double x, double width, double height, const char *colour)
{
    xml.writeEmptyElement(QStringLiteral("rect"));
    xml.writeAttribute(QStringLiteral("x"), number(x));
    xml.writeAttribute(QStringLiteral("y"), number(PlotBottom - height));
    xml.writeAttribute(QStringLiteral("width"), number(width));
    xml.writeAttribute(QStringLiteral("height"), number(height));
    xml.writeAttribute(QStringLiteral("fill"), QString::fromLatin1(colour));
}

void writeLegend(QXmlStreamWriter &xml, double x, const QString &policy, const char *colour)
{
    xml.writeEmptyElement(QStringLiteral("rect"));
    xml.writeAttribute(QStringLiteral("x"), number(x));
    xml.writeAttribute(QStringLiteral("y"), number(LegendTop));
    xml.writeAttribute(QStringLiteral("width"), number(LegendMark));
    xml.writeAttribute(QStringLiteral("height"), number(LegendMark));
    xml.writeAttribute(QStringLiteral("fill"), QString::fromLatin1(colour));
    writeText(xml, x + LegendMark * 1.5, LegendTop + LegendMark, policy);
}

void writeStallBars(QXmlStreamWriter &xml, const QList<LoadMetrics> &sums)
{
    double maxStallMs = 1;
    for (const LoadMetrics &sum : sums)
        maxStallMs = std::max(maxStallMs, sum.stallMs);
    const double step = (BarsRight - BarsLeft) / double(sums.size());
    for (qsizetype i = 0; i < sums.size(); ++i) {
        const double height = sums.at(i).stallMs / maxStallMs * (PlotBottom - PlotTop);
        const double x = BarsLeft + step * double(i);
        writeBar(xml, x, step * 0.7, height, Colours[i % std::size(Colours)]);
        writeText(xml, x + step * 0.35, PlotBottom - height - 5,
                  QStringLiteral("%1 s").arg(sums.at(i).stallMs / 1000, 0, 'f', 1), "middle");
    }
    writeText(xml, (BarsLeft + BarsRight) / 2, PlotBottom + 38,
              QStringLiteral("stall time over all seeds"), "middle");
}

} // namespace

QByteArray comparisonSvg(const PolicyComparison &comparison, const QString &title)
{
    QByteArray svg;
    QXmlStreamWriter xml(&svg);
    xml.setAutoFormatting(true);
    xml.writeStartDocument();
    xml.writeStartElement(QStringLiteral("svg"));
    xml.writeDefaultNamespace(QStringLiteral("http://www.w3.org/2000/svg"));
    xml.writeAttribute(QStringLiteral("viewBox"),
                       QStringLiteral("0 0 %1 %2").arg(Width).arg(Height));
    writeText(xml, PlotLeft, 20, title);
    writeGrid(xml);
    QList<LoadMetrics> sums;
    for (qsizetype i = 0; i < comparison.size(); ++i) {
        LoadMetrics sum;
        for (const LoadMetrics &run : comparison.at(i).runs)
            addMetrics(sum, run);
        const char *colour = Colours[i % std::size(Colours)];
        writeTail(xml, sum.betweenTokens, colour);
        writeLegend(xml, LegendLeft + LegendStep * double(i), comparison.at(i).policy, colour);
        sums.append(sum);
    }
    writeStallBars(xml, sums);
    xml.writeEndElement();
    xml.writeEndDocument();
    return svg;
}

} // namespace cranberry::load
